package main

import (
	"fmt"
	"strings"
	"time"
)

// playReplacedPrimary partitions a primary from its replicas and from four of the seven hosts,
// so that another instance is promoted. Meanwhile a host on the old primary's side is stopped as
// planned, and the store comes back from a copy from before the promotion. The host starts
// again. Writes that the old primary commits after the promotion may not be acknowledged.
func playReplacedPrimary(i *Installation, trouble bool) (int, error) {
	g := i.Groups[0]
	old := g.Primary()
	t := newTraffic(i, g)
	restarted := i.Hosts[4]
	// The hosts on either side of the partition serve different tenants.
	for n, h := range i.Hosts {
		tenant := 0
		if n >= 4 {
			tenant = 1
		}
		if h == restarted {
			tenant = 2
		}
		t.write(h, tenant)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		copyAt := time.Now()
		time.Sleep(200 * time.Millisecond)
		time.AfterFunc(7*time.Second, func() { g.Heal(old) })
		g.Cut(old, "tenant0")
		time.Sleep(1500 * time.Millisecond)
		stopped := i.Terminate(restarted)
		if !i.awaitReplacement(g, old, 5*time.Second) {
			return 0, fmt.Errorf("%w: the primary was not replaced", errNoCase)
		}
		i.drill(time.Since(copyAt))
		i.record.Event("leadership record: %s", i.Store.Object("groups", g.name))
		<-stopped
		i.record.Event("%s stopped", restarted.name)
		time.Sleep(200 * time.Millisecond)
		if err := i.Start(restarted); err != nil {
			return 0, fmt.Errorf("%w: %w", errNoCase, err)
		}
	}
	time.Sleep(8 * time.Second)
	i.record.Event("leadership record: %s", i.Store.Object("groups", g.name))
	t.end()
	return t.writesOnReplaced(old), nil
}

// writesOnReplaced returns the number of writes that the old primary committed after another
// instance led, and that were acknowledged.
func (t *traffic) writesOnReplaced(old string) int {
	record, replacedAt := t.installation.record, t.group.PromotedAt()
	broken, lost := 0, 0
	for _, e := range t.writes {
		for _, run := range record.Runs(e.id) {
			if !e.ok || run.instance != old || replacedAt.IsZero() || run.at.Before(replacedAt) || run.term > 1 {
				continue
			}
			rolledBack := record.Discarded(t.group.name, run.committed)
			if broken++; broken <= 5 {
				record.Event("ONE: %s at %s was committed on %s %.1f s after another instance led, and acknowledged: %s; rolled back later: %t",
					e.id, e.host, run.instance, run.at.Sub(replacedAt).Seconds(), e.answer, rolledBack)
			}
			if rolledBack {
				lost++
			}
		}
	}
	record.Event("%d acknowledged writes; %d of them on the replaced primary, %d of these were rolled back",
		len(t.ledger.acknowledged), broken, lost)
	return broken
}

// awaitReplacement waits until the leadership record in the store names another primary.
func (i *Installation) awaitReplacement(g *Group, old string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		record := i.Store.Object("groups", g.name)
		if strings.Contains(record, "settled") && !strings.Contains(record, old) {
			i.record.Event("leadership record: %s", record)
			return true
		}
	}
	return false
}
