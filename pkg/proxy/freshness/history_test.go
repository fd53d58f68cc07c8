package freshness_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/freshness"
)

// Guards against a minimum position that does not cover a commit acknowledged before
// the oldest state that a read accepts.
func TestMinimumPositionCoversOlderCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h freshness.History
		var now proxy.Instant
		var committed proxy.Position
		type commit struct {
			at       proxy.Instant
			position proxy.Position
		}
		var commits []commit
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "gap")) * time.Millisecond)
			if rapid.Bool().Draw(t, "commit") {
				committed++
				commits = append(commits, commit{now, committed})
				continue
			}
			h.Record(now, proxy.Bookmark{Term: 1, Position: committed})
		}
		since := now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond)
		minimum, ok := h.MinimumPosition(since)
		if !ok {
			return
		}
		for _, c := range commits {
			if c.at < since && c.position > minimum.Position {
				t.Fatalf("commit %d at %d is above the minimum position %d since %d", c.position, c.at, minimum.Position, since)
			}
		}
	})
}

// Guards against recording a position of the former primary after one of its
// successor.
func TestOlderTermIsIgnored(t *testing.T) {
	is := is.New(t)
	var h freshness.History
	h.Record(1, proxy.Bookmark{Term: 2, Position: 5})
	h.Record(proxy.Instant(time.Second), proxy.Bookmark{Term: 1, Position: 9})
	_, ok := h.MinimumPosition(2)
	is.True(!ok)
}

// Guards against an unbounded number of samples under frequent writes, and against a
// minimum position that is much newer than the requested instant.
func TestSamplesAreBounded(t *testing.T) {
	is := is.New(t)
	var h freshness.History
	for n := range 100_000 {
		h.Record(proxy.Instant(n)*proxy.Instant(time.Millisecond), proxy.Bookmark{Term: 1, Position: proxy.Position(n)})
	}
	minimum, ok := h.MinimumPosition(proxy.Instant(98 * time.Second))
	is.True(ok)
	is.True(minimum.Position >= 98_000 && minimum.Position <= 98_050)
}
