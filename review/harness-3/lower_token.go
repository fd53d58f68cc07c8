package main

import (
	"fmt"
	"time"
)

// playLowerToken releases the instances of a group one after the other. Between two of them
// the store comes back from a copy, and all hosts are killed and started again.
func playLowerToken(i *Installation, trouble bool) (int, error) {
	const age = 8 * time.Second
	g := i.Groups[0]
	t := newTraffic(i, g)
	t.write(i.Hosts[0], 0)
	t.read(i.Hosts[4], 0)
	time.Sleep(age - 2*time.Second)
	if err := i.releasePrimary(g, instanceZones[0]); err != nil {
		return 0, err
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		i.drill(age)
		i.record.Event("leadership record: %s", i.Store.Object("groups", g.name))
		for _, h := range i.Hosts {
			i.Kill(h)
		}
		time.Sleep(500 * time.Millisecond)
		for _, h := range i.Hosts {
			if err := i.Start(h); err != nil {
				return 0, fmt.Errorf("%w: %w", errNoCase, err)
			}
		}
	}
	time.Sleep(2 * time.Second)
	if err := i.releasePrimary(g, instanceZones[1]); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	stale := t.end()
	i.record.Event("stale reads by host: %v", stale)
	broken := 0
	highest := uint64(0)
	for _, token := range g.Tokens() {
		if token < highest {
			i.record.Event("ONE: a promotion was requested with fencing token %d after one with %d", token, highest)
			broken++
		}
		highest = max(highest, token)
	}
	return broken, nil
}

// releasePrimary starts a new instance, announces that the primary is leaving, and waits until
// another instance leads.
func (i *Installation) releasePrimary(g *Group, zone string) error {
	old := g.Primary()
	if _, err := g.add(fmt.Sprintf("%s-n%d", g.name, len(g.instances)), zone, i.network, false); err != nil {
		return fmt.Errorf("%w: %w", errNoCase, err)
	}
	time.Sleep(500 * time.Millisecond)
	calls := len(g.Tokens())
	g.Drain(old)
	for end := time.Now().Add(15 * time.Second); len(g.Tokens()) == calls || g.Primary() == old || g.Primary() == ""; {
		if time.Now().After(end) {
			return fmt.Errorf("%w: %s was not replaced", errNoCase, old)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}
