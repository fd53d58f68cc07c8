package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the transactions: up to 12 statements with pauses. An operation has to be over
// within deadline, a statement within timeout.
const (
	stopClients    = 24
	stopStatements = 12
	stopPause      = 250 * time.Millisecond
	stopWork       = 100 * time.Millisecond
	stopTimeout    = 1200 * time.Millisecond
	stopDeadline   = 4 * time.Second
	stopGrace      = 6 * time.Second
)

// stopInTransaction: a host gets SIGTERM. Clients whose sessions are open begin
// transactions while the host still serves. Each request that an instance got has to be
// answered.
func stopInTransaction(s *scene) error {
	busy := func(text string) time.Duration {
		if strings.Contains(text, "READ item") {
			return stopWork
		}
		return 3 * time.Millisecond
	}
	if err := s.startPlatform([]string{"a", "b", "c"}, 0, 32, busy); err != nil {
		return err
	}
	if err := s.startHosts("a", "b"); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	h := s.hosts[0]
	var clients []*client
	for n := range stopClients {
		c, err := connect(s.record, fmt.Sprintf("c%d", n+1), h.listen, "lookup", "key-north")
		if err != nil {
			return err
		}
		defer c.close()
		clients = append(clients, c)
	}
	// The host, the sessions and the store have been calm for stable_window_ms.
	time.Sleep(5 * time.Second)
	stopAt := time.Now()
	if s.trouble {
		s.record.line("SIGTERM to %s", h.name)
		if err := h.command.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		go func() {
			select {
			case <-h.ended:
				s.record.line("%s has ended by itself", h.name)
			case <-time.After(stopGrace):
				s.record.line("SIGKILL to %s", h.name)
				h.kill()
			}
		}()
	}
	var done sync.WaitGroup
	var mu sync.Mutex
	committed := 0
	for n, c := range clients {
		done.Add(1)
		go func() {
			defer done.Done()
			time.Sleep(time.Until(stopAt.Add(1700*time.Millisecond + time.Duration(n)*30*time.Millisecond)))
			if s.transact(c, stopAt) {
				mu.Lock()
				defer mu.Unlock()
				committed++
			}
		}()
	}
	done.Wait()
	s.record.line("%d of %d transactions were committed", committed, stopClients)
	return nil
}

// transact runs one transaction of reads and reports whether it was committed.
func (s *scene) transact(c *client, stopAt time.Time) bool {
	began := time.Now()
	texts := []string{"BEGIN READ"}
	for n := range stopStatements - 2 {
		texts = append(texts, fmt.Sprintf("READ item-%d", n))
	}
	for _, text := range append(texts, "COMMIT") {
		answer, err := c.query(text)
		switch {
		case err != nil:
			s.checkCut(c, began, stopAt)
			return false
		case !succeeded(answer):
			_, _ = c.query("ROLLBACK")
			return false
		}
		if text != "COMMIT" {
			time.Sleep(stopPause)
		}
	}
	return true
}

// checkCut applies the rule LOST to the request whose connection has just ended.
func (s *scene) checkCut(c *client, began, stopAt time.Time) {
	now := time.Now()
	var passed *run
	for _, r := range s.record.all() {
		if r.id == c.pending && !r.refused {
			passed = &r
		}
	}
	early := c.sentAt.Sub(stopAt) <= 3*time.Second
	switch {
	case passed == nil:
		s.record.line("request %s was not passed on, which does not count", c.pending)
	case now.Sub(c.sentAt) >= stopTimeout || now.Sub(began) >= stopDeadline:
		s.record.line("request %s has reached its timeout or deadline, which does not count", c.pending)
	case early && (passed.ended.IsZero() || passed.ended.Sub(stopAt) >= stopGrace*5/6):
		s.record.line("request %s was sent early and its instance worked late, which does not count", c.pending)
	case now.Sub(stopAt) > stopGrace+time.Second:
		s.record.line("request %s was cut after the stop, which does not count", c.pending)
	default:
		s.violation("LOST: request %s of client %s was passed on to %s; the connection ended %d ms after it was sent "+
			"and %d ms after SIGTERM, without an answer", c.pending, c.name, passed.instance,
			now.Sub(c.sentAt).Milliseconds(), now.Sub(stopAt).Milliseconds())
	}
}
