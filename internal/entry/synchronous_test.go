package entry_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/internal/emulator/deployment"
)

// promotionDelay is how long the emulated platform takes to promote an instance.
const promotionDelay = 300 * time.Millisecond

// startSynchronous starts a deployment whose commits are acknowledged when one replica has
// received them, with a client on each host that writes all the while. Since some commits only
// near has received them.
func startSynchronous(t *testing.T) *writers {
	t.Helper()
	const hosts, connections = 2, 8
	w := startWith(t, hosts, connections, func(g *deployment.Group) {
		g.Synchronous, g.PromotionDelay = 1, promotionDelay
	})
	c := &writers{deployment: w, acknowledged: make(map[string]bool), stop: make(chan struct{})}
	for n := range w.hosts {
		c.wait.Go(func() { c.write(n) })
	}
	t.Cleanup(c.end)
	c.group, c.primary = w.Groups[0], w.Groups[0].Primary()
	replicas := slices.DeleteFunc(c.group.Instances(), func(id string) bool { return id == c.primary })
	c.near, c.far = replicas[0], replicas[1]
	c.awaitMore()
	c.group.Deafen(c.far)
	c.awaitMore()
	return c
}

// writers are clients that write all the while and record what was acknowledged.
type writers struct {
	deployment *testDeployment
	group      *deployment.Group
	// primary leads the group at first. far is a replica that receives nothing.
	primary, near, far string

	mu           sync.Mutex
	acknowledged map[string]bool
	stop         chan struct{}
	stopOnce     sync.Once
	wait         sync.WaitGroup
}

func (c *writers) write(host int) {
	var client *client
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		if client == nil {
			var hello string
			if client, hello = dial(c.deployment.hosts[host], "ledger-strict", "key-clerks"); client == nil || hello != "READY I -" {
				client = nil
				continue
			}
			c.deployment.t.Cleanup(client.close)
		}
		id := fmt.Sprintf("w%d-%d", host, n)
		switch answer := client.queryAs(id, "WRITE "+id+" v"); {
		case strings.HasPrefix(answer, "COMPLETE i-"):
			c.mu.Lock()
			c.acknowledged[id] = true
			c.mu.Unlock()
		case answer == "connection lost":
			client = nil
		}
	}
}

func (c *writers) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.acknowledged)
}

// awaitMore waits until some more writes have been acknowledged.
func (c *writers) awaitMore() {
	c.deployment.t.Helper()
	const more = 20
	want := c.count() + more
	for end := time.Now().Add(waitTimeout); c.count() < want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			c.deployment.t.Fatalf("%d writes were acknowledged, want %d", c.count(), want)
		}
	}
}

func (c *writers) end() {
	c.stopOnce.Do(func() { close(c.stop) })
	c.wait.Wait()
}

// checkNothingLost ends the writers and fails the test if the primary lacks a write that was
// acknowledged.
func (c *writers) checkNothingLost() {
	c.deployment.t.Helper()
	c.end()
	primary, lost := c.group.Primary(), 0
	for id := range c.acknowledged {
		if !c.group.Holds(primary, id) {
			lost++
		}
	}
	if lost > 0 {
		c.deployment.t.Fatalf("%s leads without %d of %d acknowledged writes", primary, lost, len(c.acknowledged))
	}
}

// checkSuccessor waits for another primary, lets the far replica receive again, and checks that
// nothing was lost.
func (c *writers) checkSuccessor() {
	c.deployment.t.Helper()
	for end := time.Now().Add(waitTimeout); c.group.Primary() == "" || c.group.Primary() == c.primary; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			c.deployment.t.Fatalf("primary is %q", c.group.Primary())
		}
	}
	c.group.Hear(c.far)
	c.awaitMore()
	c.checkNothingLost()
}

// Guards against the loss of commits that only a replica holds which is about to leave: it
// was passed over for a shorter log.
func TestDrainingReplicaWithTheCommitsIsPromoted(t *testing.T) {
	t.Parallel()
	c := startSynchronous(t)
	c.group.Drain(c.near)
	c.awaitMore()
	c.group.Kill(c.primary)
	c.checkSuccessor()
}

// outage is how long instances stay away. Without the wait for them, another one is promoted
// before.
const outage = 3 * time.Second

// Guards against a successor without commits that only an instance has which does not answer
// at the moment: it is down, its entry has lapsed besides, or it is busy.
func TestSuccessorWaitsForTheReplicaWithTheCommits(t *testing.T) {
	for name, test := range map[string]struct {
		leave, back func(g *deployment.Group, id string)
	}{
		"down":                  {(*deployment.Group).Kill, (*deployment.Group).Restart},
		"down without an entry": {(*deployment.Group).Crash, (*deployment.Group).Restart},
		"busy": {
			func(g *deployment.Group, id string) {
				g.SetFault(func(instance, text string) string {
					if instance == id && text == "STATUS" {
						return "BUSY"
					}
					return ""
				})
			},
			func(g *deployment.Group, _ string) { g.SetFault(nil) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startSynchronous(t)
			c.group.Kill(c.primary)
			test.leave(c.group, c.near)
			time.Sleep(outage)
			test.back(c.group, c.near)
			c.checkSuccessor()
		})
	}
}

// Guards against a group without a primary when the old one is back and no other instance
// has all commits.
func TestReturningPrimaryGoesOn(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startSynchronous(t)
	c.group.Kill(c.primary)
	c.group.Kill(c.near)
	c.deployment.awaitLeadership("replacing")
	time.Sleep(outage)
	c.group.Restart(c.primary)
	c.group.Hear(c.far)
	c.awaitMore()
	is.Equal(c.deployment.Promotions.Load(), int64(0))
	is.Equal(c.group.Primary(), c.primary)
	c.checkNothingLost()
}

// Guards against another promotion, of an instance without all commits, after the first
// successor has failed.
func TestSuccessorThatFails(t *testing.T) {
	t.Parallel()
	c := startSynchronous(t)
	c.group.Kill(c.primary)
	for c.deployment.Promotions.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	c.group.Kill(c.near) // before it leads
	time.Sleep(2 * outage)
	c.group.Restart(c.near)
	c.checkSuccessor()
}

// Guards against a planned change to an instance without all commits: the old primary is
// busy when it is asked to step down, and the only replica with the commits is down.
func TestPlannedChangeKeepsTheCommits(t *testing.T) {
	t.Parallel()
	c := startSynchronous(t)
	busy := 10
	c.group.SetFault(func(instance, text string) string {
		if instance == c.primary && text == "STATUS" && busy > 0 {
			busy--
			return "BUSY"
		}
		return ""
	})
	c.group.Kill(c.near)
	c.group.Drain(c.primary)
	time.Sleep(outage)
	c.group.Restart(c.near)
	c.checkSuccessor()
}
