package succession_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/succession"
)

func condition(primary bool, term proxy.Term, position proxy.Position) proxy.ReplicationStatus {
	return proxy.ReplicationStatus{Primary: primary, Term: term, Received: proxy.Bookmark{Term: term, Position: position}}
}

// Guards against taking a replaced primary, which still believes that it leads
// its old term, for the primary of the group.
func TestLeadingIgnoresOlderTerms(t *testing.T) {
	is := is.New(t)
	_, ok := succession.Leading(map[proxy.InstanceID]proxy.ReplicationStatus{
		"old": condition(true, 1, 9), "follower": condition(false, 2, 7),
	})
	is.True(!ok)
	leader, ok := succession.Leading(map[proxy.InstanceID]proxy.ReplicationStatus{
		"old": condition(true, 1, 9), "new": condition(true, 2, 7),
	})
	is.True(ok)
	is.Equal(leader, proxy.InstanceID("new"))
}

// Guards against the loss of commits that another replica holds, and against a
// successor that is about to leave.
func TestSuccessorHasTheLongestLog(t *testing.T) {
	is := is.New(t)
	instances := []directory.Instance{{ID: "a"}, {ID: "b"}, {ID: "c", Leaving: true}, {ID: "d"}}
	conditions := map[proxy.InstanceID]proxy.ReplicationStatus{
		"a": condition(false, 1, 5), "b": condition(false, 1, 6), "c": condition(false, 1, 9),
	}
	successor, ok := succession.Successor(instances, conditions, "a")
	is.True(ok)
	is.Equal(successor, proxy.InstanceID("b"))
	successor, ok = succession.Successor(instances, conditions, "a", "b")
	is.True(ok)
	is.Equal(successor, proxy.InstanceID("c"))
	_, ok = succession.Successor(instances, nil, "a")
	is.True(!ok)
}

// Guards against a promotion while a host may still acknowledge writes of the
// old primary.
func TestRetiredNeedsEveryHostOrTheLease(t *testing.T) {
	is := is.New(t)
	is.True(!succession.Retired(succession.Lease, false))
	is.True(succession.Retired(succession.Lease+time.Second, false))
	is.True(succession.Retired(0, true))
}

// Guards against replacing a primary that serves, and against keeping one that
// does not.
func TestDecide(t *testing.T) {
	settled := succession.Record{Primary: "a", Phase: succession.Settled}
	replacing := succession.Record{Primary: "a", Phase: succession.Replacing, Host: "h"}
	healthy := &directory.Instance{ID: "a", Primary: true}
	tests := []struct {
		name string
		view succession.View
		want bool
	}{
		{"healthy", succession.View{Record: settled, Instance: healthy, Hosts: 7, Suspecting: 3}, false},
		{"most suspect", succession.View{Record: settled, Instance: healthy, Hosts: 7, Suspecting: 4}, true},
		{"missing and unreachable", succession.View{Record: settled, Missing: time.Second, Hosts: 3, Suspecting: 2}, true},
		{"leaving", succession.View{Record: settled, Instance: &directory.Instance{Primary: true, Leaving: true}}, true},
		{"briefly missing", succession.View{Record: settled, Missing: time.Second}, false},
		{"missing", succession.View{Record: settled, Missing: 3 * time.Second}, true},
		{"demoted", succession.View{Record: settled, Instance: &directory.Instance{}, Demoted: 3 * time.Second}, true},
		{"conducted", succession.View{Record: replacing, Held: 4 * time.Second, Conducting: true}, false},
		{"conductor silent", succession.View{Record: replacing, Held: 4 * time.Second}, true},
		{"own, not conducted", succession.View{Record: replacing, Own: true}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, due := succession.Decide(test.view)
			is.Equal(due, test.want)
		})
	}
}
