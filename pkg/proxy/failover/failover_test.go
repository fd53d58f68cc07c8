package failover_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/failover"
)

func status(primary bool, term proxy.Term, position proxy.Position) proxy.ReplicationStatus {
	return proxy.ReplicationStatus{Primary: primary, Term: term, Received: proxy.Bookmark{Term: term, Position: position}}
}

// Guards against taking a replaced primary, which still leads its older term, for the
// primary of the group.
func TestCurrentPrimaryIgnoresOlderTerms(t *testing.T) {
	is := is.New(t)
	_, ok := failover.CurrentPrimary(map[proxy.InstanceID]proxy.ReplicationStatus{
		"old": status(true, 1, 9), "follower": status(false, 2, 7),
	})
	is.True(!ok)
	primary, ok := failover.CurrentPrimary(map[proxy.InstanceID]proxy.ReplicationStatus{
		"old": status(true, 1, 9), "new": status(true, 2, 7),
	})
	is.True(ok)
	is.Equal(primary, proxy.InstanceID("new"))
}

// Guards against a promotion while a host may still acknowledge writes on the old
// primary.
func TestRetiredNeedsEveryHostOrTheLease(t *testing.T) {
	is := is.New(t)
	is.True(!failover.Retired(failover.Lease, false, failover.NeverRestored))
	is.True(failover.Retired(failover.Lease+time.Second, false, 0))
	is.True(failover.Retired(0, true, failover.NeverRestored))
	is.True(!failover.Retired(0, true, failover.Lease)) // hosts whose registrations were lost have leases
	is.True(failover.Retired(0, true, failover.Lease+time.Second))
}

// Guards against replacing a healthy primary, and against keeping a failed one.
func TestDecide(t *testing.T) {
	settled := failover.Record{Primary: "a", Phase: failover.Settled}
	replacing := failover.Record{Primary: "a", Phase: failover.Replacing, Host: "h"}
	healthy := &directory.Instance{ID: "a", Primary: true}
	tests := []struct {
		name string
		view failover.View
		want bool
	}{
		{"healthy", failover.View{Record: settled, Instance: healthy, Hosts: 7, SuspectingHosts: 3}, false},
		{"most suspect", failover.View{Record: settled, Instance: healthy, Hosts: 7, SuspectingHosts: 4}, true},
		{"missing and unreachable", failover.View{Record: settled, Missing: time.Second, Hosts: 3, SuspectingHosts: 2}, true},
		{"leaving", failover.View{Record: settled, Instance: &directory.Instance{Primary: true, Leaving: true}}, true},
		{"briefly missing", failover.View{Record: settled, Missing: time.Second}, false},
		{"missing", failover.View{Record: settled, Missing: 3 * time.Second}, true},
		{"demoted", failover.View{Record: settled, Instance: &directory.Instance{}, Demoted: 3 * time.Second}, true},
		{"coordinated", failover.View{Record: replacing, RecordAge: 4 * time.Second, CoordinatorRunning: true}, false},
		{"coordinator unresponsive", failover.View{Record: replacing, RecordAge: 4 * time.Second}, true},
		{"own, not coordinated", failover.View{Record: replacing, OwnAttemptMissing: true}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, due := failover.Decide(test.view)
			is.Equal(due, test.want)
		})
	}
}
