package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// The tenants of this case have this rate and burst. The other figures are quota_window_s,
// quota_overshoot and quota_slack of the deployment.
const (
	tenantRate, tenantBurst = 20, 20
	quotaWindow             = 5 * time.Second
	quotaOvershoot          = 0.1
	quotaSlack              = 20
)

// playLostShare adds a host and takes the store back to a copy from before that. Afterwards
// each tenant sends several times its rate at all hosts. No window may see more than its limit.
func playLostShare(i *Installation, trouble bool) (int, error) {
	for _, tenant := range i.tenants {
		tenant["rate_per_s"], tenant["burst"] = tenantRate, tenantBurst
	}
	i.Configure()
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
	time.Sleep(5800 * time.Millisecond)
	i.record.Event("%s is ready: %t; hosts in the store: %v", added.name, added.Ready(), i.Store.Names("hosts"))
	if trouble {
		i.drill(time.Since(copyAt))
	}
	time.Sleep(8 * time.Second)
	i.record.Event("hosts in the store: %v", i.Store.Names("hosts"))
	stop := make(chan struct{})
	var workers sync.WaitGroup
	var mu sync.Mutex
	exchanges := make(map[string][]Exchange)
	for n := range i.tenants {
		for _, h := range i.Hosts {
			database := fmt.Sprintf("db%d-bounded_staleness", n%len(i.Groups))
			workers.Go(func() {
				worker(i, h, database, key(n), 60*time.Millisecond, stop, func(int) string { return "READ item" }, func(e Exchange) {
					mu.Lock()
					defer mu.Unlock()
					exchanges[key(n)] = append(exchanges[key(n)], e)
				})
			})
		}
	}
	time.Sleep(20 * time.Second)
	close(stop)
	workers.Wait()
	i.record.Event("hosts in the store: %v", i.Store.Names("hosts"))
	limit := int((tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaOvershoot) + quotaSlack)
	broken := 0
	for n := range i.tenants {
		most, asked := i.mostInWindow(exchanges[key(n)])
		i.record.Event("tenant%d: %d requests ran in the fullest window of %v, limit %d; %d were sent in 20 s", n, most, quotaWindow, limit, asked)
		if most > limit {
			broken++
		}
	}
	return broken, nil
}

// mostInWindow returns the largest number of requests that were sent and ran in one window, and
// the number that were sent at all.
func (i *Installation) mostInWindow(exchanges []Exchange) (most, asked int) {
	type served struct{ sent, ran time.Time }
	var all []served
	for _, e := range exchanges {
		for _, run := range i.record.Runs(e.id) {
			all = append(all, served{e.sent, run.at})
			break
		}
	}
	slices.SortFunc(all, func(a, b served) int { return a.sent.Compare(b.sent) })
	for first, s := range all {
		count := 0
		for _, other := range all[first:] {
			if other.ran.Sub(s.sent) <= quotaWindow {
				count++
			}
		}
		most = max(most, count)
	}
	return most, len(exchanges)
}
