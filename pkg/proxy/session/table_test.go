package session_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/session"
)

// Guards against a position that decreases because an older commit is recorded late,
// and against a position that applies to another session, account or group.
func TestPositionNeverFallsBack(t *testing.T) {
	is := is.New(t)
	var table session.Table
	later := proxy.Bookmark{Term: 2, Position: 50}
	table.Committed(1, "orders", "clerks", "a", later)
	table.Committed(2, "orders", "clerks", "a", proxy.Bookmark{Term: 1, Position: 900})
	table.Committed(3, "orders", "clerks", "a", proxy.Bookmark{Term: 2, Position: 40})
	is.Equal(table.Minimum(4, "orders", "clerks", "a"), later)
	is.Equal(table.Minimum(4, "orders", "clerks", "b"), proxy.Bookmark{})
	is.Equal(table.Minimum(4, "orders", "weavers", "a"), proxy.Bookmark{})
	is.Equal(table.Minimum(4, "payouts", "clerks", "a"), proxy.Bookmark{})
}

// Guards against positions of ended sessions that stay in memory forever.
func TestOldPositionsAreRemoved(t *testing.T) {
	is := is.New(t)
	table := session.Table{Retention: time.Minute}
	now := proxy.Instant(1)
	for i := range 1000 {
		table.Committed(now, "orders", "clerks", string(rune('a'+i%26))+string(rune('a'+i/26)), proxy.Bookmark{Term: 1, Position: 1})
		now = now.Add(time.Second)
	}
	is.True(table.Len() <= 120) // two retentions at one write per second
}
