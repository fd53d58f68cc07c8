package main

import (
	"fmt"
	"time"
)

// playNewHost adds a host, takes the store back to a copy from before that, and partitions a
// primary from its replicas and from four of the eight hosts, so that another instance is
// promoted. Writes that the old primary commits after that may not be acknowledged.
func playNewHost(i *Installation, trouble bool) (int, error) {
	g := i.Groups[0]
	old := g.Primary()
	t := newTraffic(i, g)
	// The hosts on either side of the partition serve different tenants.
	for n, h := range i.Hosts {
		t.write(h, min(n/5, 1))
	}
	time.Sleep(time.Second)
	copyAt := time.Now()
	time.Sleep(200 * time.Millisecond)
	added, err := i.AddHost(hostZones[6])
	if err == nil {
		err = i.Start(added)
	}
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errNoCase, err)
	}
	t.write(added, 2)
	time.Sleep(6800 * time.Millisecond)
	i.record.Event("%s is ready: %t", added.name, added.Ready())
	if trouble {
		i.record.Event("hosts in the store: %v", i.Store.Names("hosts"))
		i.drill(time.Since(copyAt))
		i.record.Event("hosts in the store: %v", i.Store.Names("hosts"))
		time.AfterFunc(7*time.Second, func() { g.Heal(old) })
		g.Cut(old, "tenant0")
		if !i.awaitReplacement(g, old, 6500*time.Millisecond) {
			return 0, fmt.Errorf("%w: the primary was not replaced", errNoCase)
		}
	}
	time.Sleep(7 * time.Second)
	i.record.Event("hosts in the store: %v", i.Store.Names("hosts"))
	i.record.Event("leadership record: %s", i.Store.Object("groups", g.name))
	t.end()
	return t.writesOnReplaced(old), nil
}
