package entry_test

import (
	"fmt"
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
// received them, with a client on each host that writes all the while.
func startSynchronous(t *testing.T, hosts int) (*testDeployment, *writers) {
	t.Helper()
	const perHost = 8
	w := startWith(t, hosts, perHost, func(g *deployment.Group) {
		g.Synchronous, g.PromotionDelay = 1, promotionDelay
	})
	c := &writers{deployment: w, acknowledged: make(map[string]bool), stop: make(chan struct{})}
	for n := range w.hosts {
		c.wait.Go(func() { c.write(n) })
	}
	t.Cleanup(c.end)
	return w, c
}

// writers are clients that write all the while and record what was acknowledged.
type writers struct {
	deployment   *testDeployment
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
	g := c.deployment.Groups[0]
	primary, lost := g.Primary(), 0
	for id := range c.acknowledged {
		if !g.Holds(primary, id) {
			lost++
		}
	}
	if lost > 0 {
		c.deployment.t.Fatalf("%s leads without %d of %d acknowledged writes", primary, lost, len(c.acknowledged))
	}
}

// replicas returns the replicas of the first group.
func (w *testDeployment) replicas() []string {
	var ids []string
	for _, id := range w.Groups[0].Instances() {
		if id != w.Groups[0].Primary() {
			ids = append(ids, id)
		}
	}
	return ids
}

// awaitPrimary waits until an instance leads the first group for which accept is true.
func (w *testDeployment) awaitPrimary(accept func(id string) bool) {
	w.t.Helper()
	for end := time.Now().Add(waitTimeout); ; time.Sleep(time.Millisecond) {
		id := w.Groups[0].Primary()
		if id != "" && accept(id) {
			return
		}
		if time.Now().After(end) {
			w.t.Fatalf("primary is %q", id)
		}
	}
}

// Guards against the loss of commits that only a replica holds which is about to leave: it
// was passed over for a shorter log.
func TestDrainingReplicaWithTheCommitsIsPromoted(t *testing.T) {
	t.Parallel()
	w, c := startSynchronous(t, 2)
	g := w.Groups[0]
	primary, near, far := g.Primary(), w.replicas()[0], w.replicas()[1]
	c.awaitMore()
	g.Drain(near)
	g.Deafen(far)
	c.awaitMore()
	g.Kill(primary)
	w.awaitPrimary(func(id string) bool { return id != primary })
	g.Hear(far)
	c.awaitMore()
	c.checkNothingLost()
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
			w, c := startSynchronous(t, 2)
			g := w.Groups[0]
			primary, near, far := g.Primary(), w.replicas()[0], w.replicas()[1]
			g.Deafen(far)
			c.awaitMore()
			g.Kill(primary)
			test.leave(g, near)
			time.Sleep(outage)
			test.back(g, near)
			w.awaitPrimary(func(id string) bool { return id != primary })
			g.Hear(far)
			c.awaitMore()
			c.checkNothingLost()
		})
	}
}

// Guards against a group without a primary when the old one is back and no other instance
// has all commits.
func TestReturningPrimaryGoesOn(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w, c := startSynchronous(t, 2)
	g := w.Groups[0]
	primary, near, far := g.Primary(), w.replicas()[0], w.replicas()[1]
	g.Deafen(far)
	c.awaitMore()
	g.Kill(primary)
	g.Kill(near)
	w.awaitLeadership("replacing")
	time.Sleep(outage)
	g.Restart(primary)
	g.Hear(far)
	c.awaitMore()
	is.Equal(w.Promotions.Load(), int64(0))
	is.Equal(g.Primary(), primary)
	c.checkNothingLost()
}

// Guards against another promotion, of an instance without all commits, after the first
// successor has failed.
func TestSuccessorThatFails(t *testing.T) {
	t.Parallel()
	w, c := startSynchronous(t, 2)
	g := w.Groups[0]
	primary, near, far := g.Primary(), w.replicas()[0], w.replicas()[1]
	g.Deafen(far)
	c.awaitMore()
	g.Kill(primary)
	for w.Promotions.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	g.Kill(near) // before it leads
	time.Sleep(2 * outage)
	g.Restart(near)
	w.awaitPrimary(func(id string) bool { return id != primary })
	g.Hear(far)
	c.awaitMore()
	c.checkNothingLost()
}

// Guards against a planned change to an instance without all commits: the old primary is
// busy when it is asked to step down, and the only replica with the commits is down.
func TestPlannedChangeKeepsTheCommits(t *testing.T) {
	t.Parallel()
	w, c := startSynchronous(t, 2)
	g := w.Groups[0]
	primary, near, far := g.Primary(), w.replicas()[0], w.replicas()[1]
	g.Deafen(far)
	c.awaitMore()
	busy := 10
	g.SetFault(func(instance, text string) string {
		if instance == primary && text == "STATUS" && busy > 0 {
			busy--
			return "BUSY"
		}
		return ""
	})
	g.Kill(near)
	g.Drain(primary)
	time.Sleep(outage)
	g.Restart(near)
	w.awaitPrimary(func(id string) bool { return id != primary })
	g.Hear(far)
	c.awaitMore()
	c.checkNothingLost()
}
