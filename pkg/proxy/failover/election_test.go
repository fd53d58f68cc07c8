package failover_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/failover"
)

type statuses map[proxy.InstanceID]proxy.ReplicationStatus

// answers are the statuses of the replicas a, b and c in the first term; those with the
// position zero have not answered.
func answers(a, b, c proxy.Position) statuses {
	answered := make(statuses)
	for id, position := range map[proxy.InstanceID]proxy.Position{"a": a, "b": b, "c": c} {
		if position != 0 {
			answered[id] = status(false, 1, position)
		}
	}
	return answered
}

// late is after the time in which replicas catch up.
const late = failover.Lease + failover.CatchUpTimeout + time.Second

// Guards against the loss of commits that only an instance holds that is about to leave, and
// against a successor that is about to leave although another one is as good.
func TestSuccessorHasTheLongestLog(t *testing.T) {
	instances := []directory.Instance{{ID: "a"}, {ID: "b"}, {ID: "c", Leaving: true}, {ID: "old"}}
	final := &proxy.Bookmark{Term: 1, Position: 6}
	for name, test := range map[string]struct {
		election failover.Election
		want     proxy.InstanceID
	}{
		"longest":                     {failover.Election{Statuses: answers(5, 6, 4)}, "b"},
		"longest is rejected":         {failover.Election{Statuses: answers(7, 6, 4), Rejected: "a"}, "b"},
		"longest is leaving":          {failover.Election{Statuses: answers(5, 6, 9)}, "c"},
		"equal to one that leaves":    {failover.Election{Statuses: answers(5, 9, 9)}, "b"},
		"leaving is the only one":     {failover.Election{Statuses: answers(0, 0, 9)}, "c"},
		"beyond the end of the log":   {failover.Election{Statuses: answers(5, 6, 9), Final: final}, "b"},
		"only the leaving has it all": {failover.Election{Statuses: answers(5, 5, 9), Final: final, SteppedDown: time.Second}, "c"},
		"one that stays catches up":   {failover.Election{Statuses: answers(5, 5, 9), Final: final}, ""},
		"has not caught up":           {failover.Election{Statuses: answers(5, 4, 3), Final: final}, ""},
		"will not catch up":           {failover.Election{Statuses: answers(5, 4, 3), Final: final, Waited: late}, "a"},
		"newer term":                  {failover.Election{Statuses: statuses{"a": status(false, 2, 3), "b": status(false, 1, 9)}}, "a"},
		"none has answered":           {failover.Election{}, ""},
		"old primary":                 {failover.Election{Statuses: statuses{"old": status(false, 1, 9)}}, ""},
		"only the old primary":        {failover.Election{Statuses: statuses{"old": status(false, 1, 9)}, Waited: late}, "old"},
		"old primary leads":           {failover.Election{Statuses: statuses{"old": status(true, 1, 9)}, Waited: late}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			test.election.Primary, test.election.Instances = "old", instances
			successor, ok := test.election.Successor()
			is.Equal(successor, test.want)
			is.Equal(ok, test.want != "")
		})
	}
}

// Guards against a successor without commits that an instance has which does not answer at
// the moment, and against a group that waits for ever.
func TestSuccessorHasAllAcknowledgedCommits(t *testing.T) {
	three := []directory.Instance{{ID: "a"}, {ID: "b"}, {ID: "old"}}
	four := append([]directory.Instance{{ID: "c"}}, three...)
	final := &proxy.Bookmark{Term: 1, Position: 6}
	for name, test := range map[string]struct {
		instances []directory.Instance
		election  failover.Election
		want      proxy.InstanceID
	}{
		"all replicas":              {three, failover.Election{Synchronous: 1, Statuses: answers(5, 6, 0)}, "b"},
		"one replica is missing":    {three, failover.Election{Synchronous: 1, Statuses: answers(5, 0, 0)}, ""},
		"late":                      {three, failover.Election{Synchronous: 1, Statuses: answers(5, 0, 0), Waited: late}, ""},
		"the other one is gone":     {three[:1], failover.Election{Synchronous: 1, Statuses: answers(5, 0, 0)}, "a"},
		"instances are not known":   {three, failover.Election{Synchronous: 1, Statuses: answers(5, 6, 0), Partial: true}, ""},
		"the end of the log":        {three, failover.Election{Synchronous: 1, Statuses: answers(6, 0, 0), Final: final, Partial: true}, "a"},
		"not the end of the log":    {three, failover.Election{Synchronous: 1, Statuses: answers(5, 0, 0), Final: final, Waited: late}, ""},
		"end was not acknowledged":  {three, failover.Election{Synchronous: 1, Statuses: answers(4, 5, 0), Final: final, Waited: late}, "b"},
		"longest log is rejected":   {three, failover.Election{Synchronous: 1, Statuses: answers(5, 6, 0), Rejected: "b"}, ""},
		"two acknowledge":           {four, failover.Election{Synchronous: 2, Statuses: answers(5, 6, 0)}, "b"},
		"two acknowledge, one of 3": {four, failover.Election{Synchronous: 2, Statuses: answers(5, 0, 0)}, ""},
		"one acknowledges, two of 3": {
			four, failover.Election{Synchronous: 1, Statuses: answers(5, 6, 0)}, "",
		},
		"the old primary has it": {
			three, failover.Election{
				Synchronous: 1, Statuses: statuses{"a": status(false, 1, 5), "old": status(false, 1, 6)}, Final: final, Waited: late,
			}, "old",
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			test.election.Primary, test.election.Instances = "old", test.instances
			successor, ok := test.election.Successor()
			is.Equal(successor, test.want)
			is.Equal(ok, test.want != "")
		})
	}
}

// Guards against a successor that lacks an acknowledged commit, whichever replicas have
// received which commits and whichever of them answer, as long as the platform's promise
// holds: a commit is acknowledged when enough replicas have received it.
func TestSuccessorKeepsEveryAcknowledgedCommit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := rapid.IntRange(1, 5).Draw(t, "replicas")
		synchronous := rapid.IntRange(1, replicas).Draw(t, "synchronous")
		e := failover.Election{
			Primary: "old", Synchronous: synchronous, Instances: []directory.Instance{{ID: "old"}},
			Statuses: make(statuses), Waited: time.Duration(rapid.IntRange(0, 10).Draw(t, "waited")) * time.Second,
		}
		logs := make(map[proxy.InstanceID]proxy.Position)
		for n := range replicas {
			id := proxy.InstanceID(rune('a' + n))
			logs[id] = proxy.Position(rapid.IntRange(1, 6).Draw(t, "log"))
			e.Instances = append(e.Instances, directory.Instance{ID: id, Leaving: rapid.Bool().Draw(t, "leaving")})
			if rapid.Bool().Draw(t, "answers") {
				e.Statuses[id] = status(false, 1, logs[id])
			}
		}
		end := proxy.Position(rapid.IntRange(6, 8).Draw(t, "end of the old primary"))
		if rapid.Bool().Draw(t, "stepped down") {
			e.Final = &proxy.Bookmark{Term: 1, Position: end}
			e.Statuses["old"] = status(false, 1, end)
		}
		logs["old"] = end
		if rapid.Bool().Draw(t, "rejected") {
			e.Rejected = "a"
		}
		successor, ok := e.Successor()
		if !ok {
			return
		}
		for position := proxy.Position(1); position <= end; position++ {
			holders := 0
			for id, log := range logs {
				if id != "old" && log >= position {
					holders++
				}
			}
			if holders >= synchronous && logs[successor] < position {
				t.Fatalf("%s was chosen with a log up to %d; %d replicas have %d: %+v", successor, logs[successor], holders, position, e)
			}
		}
	})
}
