package main

import (
	"fmt"
	"time"
)

// playNoPrimary takes the store back to a copy while a primary is replaced as planned. It is no
// case, since no rule names what follows: it returns 1 if no write of the group is acknowledged
// from 10 to 40 s after that.
func playNoPrimary(i *Installation, trouble bool) (int, error) {
	g := i.Groups[0]
	t := newTraffic(i, g)
	for n, h := range i.Hosts {
		t.write(h, n)
	}
	time.Sleep(3 * time.Second)
	if _, err := g.add(fmt.Sprintf("%s-n%d", g.name, len(g.instances)), instanceZones[0], i.network, false); err != nil {
		return 0, fmt.Errorf("%w: %w", errNoCase, err)
	}
	time.Sleep(500 * time.Millisecond)
	g.Drain(g.Primary())
	time.Sleep(60 * time.Millisecond)
	if trouble {
		i.drill(5 * time.Second)
	}
	time.Sleep(10 * time.Second)
	from := time.Now()
	time.Sleep(30 * time.Second)
	i.record.Event("leadership record: %s", i.Store.Object("groups", g.name))
	t.end()
	sent, acknowledged := 0, 0
	for _, e := range t.writes {
		if e.sent.Before(from) {
			continue
		}
		sent++
		if e.ok {
			acknowledged++
		}
	}
	i.record.Event("primary %q; %d of %d writes of the last 30 s were acknowledged", g.Primary(), acknowledged, sent)
	if acknowledged == 0 {
		return 1, nil
	}
	return 0, nil
}
