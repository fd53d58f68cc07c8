package main

import (
	"fmt"
	"time"
)

// revokeBound is revoke_ms of the deployment.
const revokeBound = 5 * time.Second

// playWithdrawnKey withdraws a key after the store has come back from a copy. Requests with
// the key that are sent later than revokeBound after the acknowledgement may not run.
func playWithdrawnKey(i *Installation, trouble bool) (int, error) {
	withdrawn := spareKey(3)
	sessions := make(map[*HostProcess]*Client)
	for _, h := range i.Hosts {
		c, err := Connect(i.record, h, "db0-read_your_writes", withdrawn)
		if err != nil {
			return 0, fmt.Errorf("%w: %s: %w", errNoCase, h.name, err)
		}
		defer c.Close()
		sessions[h] = c
		if e := c.Query("READ item"); !e.ok {
			return 0, fmt.Errorf("%w: %s did not serve before: %s", errNoCase, h.name, e.answer)
		}
	}
	time.Sleep(4 * time.Second)
	if trouble {
		i.drill(5 * time.Second)
	}
	time.Sleep(1500 * time.Millisecond)
	i.tenants[3]["api_keys"] = []string{key(3)}
	acknowledged := i.Configure()
	time.Sleep(time.Until(acknowledged.Add(revokeBound + 500*time.Millisecond)))
	broken := 0
	for range 8 {
		for _, h := range i.Hosts {
			broken += i.countRuns(h, sessions[h].Query("READ item"), acknowledged)
			c, err := Connect(i.record, h, "db0-read_your_writes", withdrawn)
			if err != nil {
				i.record.Event("%s: new session with the withdrawn key: %v", h.name, err)
				continue
			}
			broken += i.countRuns(h, c.Query("WRITE item x"), acknowledged)
			c.Close()
		}
		time.Sleep(time.Second)
	}
	return broken, nil
}

// countRuns returns 1 if a request with the withdrawn key ran too late, and reports it.
func (i *Installation) countRuns(h *HostProcess, e Exchange, acknowledged time.Time) int {
	late := e.sent.Sub(acknowledged)
	for _, run := range i.record.Runs(e.id) {
		i.record.Event("CONFIG: %s sent to %s %.1f s after the key was withdrawn ran on %s for %s: %s",
			e.id, h.name, late.Seconds(), run.instance, run.who, e.text)
		return 1
	}
	return 0
}
