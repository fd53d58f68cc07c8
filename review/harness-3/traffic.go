package main

import (
	"fmt"
	"sync"
	"time"
)

// commitLedger knows which commits were acknowledged to clients, and when.
type commitLedger struct {
	record *Record
	group  string

	mu           sync.Mutex
	acknowledged []acknowledgement
}

type acknowledgement struct {
	at     time.Time
	serial int
}

// add records that a write was acknowledged.
func (l *commitLedger) add(e Exchange) {
	for _, run := range l.record.Runs(e.id) {
		l.mu.Lock()
		l.acknowledged = append(l.acknowledged, acknowledgement{e.answered, run.committed})
		l.mu.Unlock()
	}
}

// required returns the newest commit that was acknowledged before an instant and was not
// rolled back.
func (l *commitLedger) required(before time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := 0
	for _, a := range l.acknowledged {
		if a.at.Before(before) && a.serial > newest && !l.record.Discarded(l.group, a.serial) {
			newest = a.serial
		}
	}
	return newest
}

// worker runs operations on a route of a host until stop is closed. It connects again after
// an error.
func worker(i *Installation, h *HostProcess, database, key string, pause time.Duration, stop <-chan struct{},
	next func(n int) string, done func(Exchange),
) {
	var c *Client
	for n := 1; ; n++ {
		select {
		case <-stop:
			if c != nil {
				c.Close()
			}
			return
		default:
		}
		if c == nil {
			var err error
			if c, err = Connect(i.record, h, database, key); err != nil {
				c = nil
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		e := c.Query(next(n))
		if e.err != nil {
			c.Close()
			c = nil
		}
		done(e)
		time.Sleep(pause)
	}
}

// traffic writes and reads items of a group on its strict route. It counts the reads on a log
// that lacks a commit which was acknowledged before the read was sent.
type traffic struct {
	installation *Installation
	group        *Group
	ledger       *commitLedger
	stop         chan struct{}
	workers      sync.WaitGroup

	mu            sync.Mutex
	reads, writes []Exchange
}

func newTraffic(i *Installation, g *Group) *traffic {
	return &traffic{installation: i, group: g, ledger: &commitLedger{record: i.record, group: g.name}, stop: make(chan struct{})}
}

func (t *traffic) write(h *HostProcess, tenant int) {
	t.workers.Go(func() {
		worker(t.installation, h, t.group.name+"-primary", key(tenant), 10*time.Millisecond, t.stop,
			func(n int) string { return fmt.Sprintf("WRITE rug-%d state-%d", tenant, n) },
			func(e Exchange) {
				if e.ok {
					t.ledger.add(e)
				}
				t.mu.Lock()
				defer t.mu.Unlock()
				t.writes = append(t.writes, e)
			})
	})
}

func (t *traffic) read(h *HostProcess, tenant int) {
	t.workers.Go(func() {
		worker(t.installation, h, t.group.name+"-primary", key(tenant), 10*time.Millisecond, t.stop,
			func(int) string { return fmt.Sprintf("READ rug-%d", tenant) },
			func(e Exchange) {
				t.mu.Lock()
				defer t.mu.Unlock()
				t.reads = append(t.reads, e)
			})
	})
}

// end ends the traffic and returns the number of successful reads that were stale, by host.
func (t *traffic) end() map[string]int {
	close(t.stop)
	t.workers.Wait()
	stale := make(map[string]int)
	for _, e := range t.reads {
		required := t.ledger.required(e.sent)
		for _, run := range t.installation.record.Runs(e.id) {
			if run.applied >= required {
				continue
			}
			stale[e.host]++
			if stale[e.host] <= 5 {
				t.installation.record.Event("STALE: %s at %s ran on %s, whose log ends with commit %d; %d was acknowledged before: %s",
					e.id, e.host, run.instance, run.applied, required, e.answer)
			}
		}
	}
	return stale
}
