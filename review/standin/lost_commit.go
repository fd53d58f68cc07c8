package main

import (
	"fmt"
	"sync"
	"time"
)

// Figures of the disruptions: how long a replica receives nothing, how long the primary is
// down, and how long the other replica is.
const (
	writers        = 4
	drainingBefore = 500 * time.Millisecond
	deafBefore     = 1500 * time.Millisecond
	deafFor        = 6500 * time.Millisecond
	primaryFor     = 7 * time.Second
	replicaFor     = 3 * time.Second
	watched        = 14 * time.Second
)

// lostWithDrainingReplica: in a service with sync_replicas 1, one replica is about to be
// replaced and reports that it drains, the other one receives nothing for a while, and the
// primary crashes meanwhile.
func lostWithDrainingReplica(s *scene) error {
	return s.checkAcknowledged(func(primary, near, far *instance) {
		near.drain()
		time.Sleep(drainingBefore)
		far.deafen()
		time.Sleep(deafBefore)
		primary.crash()
		time.AfterFunc(primaryFor, primary.restart)
	})
}

// lostWithCrashedReplica: in a service with sync_replicas 1, one replica receives nothing
// for a while, and the primary and the other replica crash meanwhile. The latter is back
// after replicaFor.
func lostWithCrashedReplica(s *scene) error {
	return s.checkAcknowledged(func(primary, near, far *instance) {
		far.deafen()
		time.Sleep(deafBefore)
		primary.crash()
		near.crash()
		time.AfterFunc(replicaFor, near.restart)
		time.AfterFunc(primaryFor, primary.restart)
	})
}

// checkAcknowledged writes all the while, brings about the disruption, and checks that
// every acknowledged commit is in the log of each instance that is promoted after it.
func (s *scene) checkAcknowledged(disrupt func(primary, near, far *instance)) error {
	if err := s.startPlatform([]string{"a", "b", "c"}, 1, 32, func(string) time.Duration { return 3 * time.Millisecond }); err != nil {
		return err
	}
	if err := s.startHosts("a", "b", "c"); err != nil {
		return err
	}
	g := s.groups[0]
	var mu sync.Mutex
	acknowledged := make(map[string]time.Time)
	stop := make(chan struct{})
	var done sync.WaitGroup
	for n := range writers {
		done.Add(1)
		go func() {
			defer done.Done()
			s.write(fmt.Sprintf("w%d", n+1), s.hosts[n%len(s.hosts)], stop, func(id string) {
				mu.Lock()
				defer mu.Unlock()
				acknowledged[id] = time.Now()
			})
		}()
	}
	time.Sleep(3 * time.Second)
	if s.trouble {
		disrupt(g.instances[0], g.instances[1], g.instances[2])
	}
	time.Sleep(watched)
	close(stop)
	done.Wait()
	mu.Lock()
	defer mu.Unlock()
	if len(acknowledged) < 20 {
		return fmt.Errorf("only %d writes were acknowledged", len(acknowledged))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s.record.line("%d writes acknowledged, %d promotions", len(acknowledged), len(g.promoted))
	for _, p := range g.promoted {
		lost := 0
		for id, at := range acknowledged {
			if at.Before(p.at) && !p.log[id] {
				lost++
				s.record.line("acknowledged write %s is not in the log of %s", id, p.instance)
			}
		}
		if lost > 0 {
			s.violation("LOST: %s was promoted to term %d without %d acknowledged commits", p.instance, p.term, lost)
		}
	}
	return nil
}

// write writes a new item every 20 ms until stop is closed. It opens a new session after a
// failure, and reports the ids of acknowledged writes.
func (s *scene) write(name string, h *host, stop chan struct{}, acknowledge func(id string)) {
	var c *client
	defer func() {
		if c != nil {
			c.close()
		}
	}()
	for n := 1; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = connect(s.record, name, h.listen, "confirm", "key-north"); err != nil {
				c = nil
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		answer, err := c.query(fmt.Sprintf("WRITE %s-%d paid", name, n))
		if err != nil {
			c.close()
			c = nil
			continue
		}
		if succeeded(answer) {
			acknowledge(c.last)
		} else {
			time.Sleep(100 * time.Millisecond)
		}
	}
}
