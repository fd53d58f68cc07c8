package inner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/auburnyoke/auburnyoke/internal/timing"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/placement"
)

// roundInterval is the time between two rounds over the pool hosts.
const roundInterval = 50 * time.Millisecond

// defaultSuspicion is the default of Forwarder.Suspicion.
const defaultSuspicion = time.Second

// Forwarder lends from the pool host that the placement prefers for this host.
// It goes to the next pool host only where nothing of the request was sent. The
// exported fields are set before use. It implements proxy.Lender.
type Forwarder struct {
	// Host is this host; its own pool is Local.
	Host      proxy.HostID
	Local     proxy.Acquirer
	Client    *Client
	Placement *placement.Table
	Catalog   proxy.Catalog
	Clock     proxy.Clock
	// Suspicion is the time for which a pool host that was not reachable is
	// tried last.
	Suspicion time.Duration

	mu sync.Mutex
	// suspects holds the instants until which pool hosts are tried last.
	suspects map[string]proxy.Instant
}

// Acquire implements proxy.Lender. When no pool host can serve the group now, which
// passes after a start or while pool hosts change, it asks them again until the
// patience ends.
func (f *Forwarder) Acquire(ctx context.Context, ask proxy.ConnectionRequest) (proxy.AcquiredConnection, error) {
	if f.group(ask.Group) == nil {
		return nil, proxy.Refuse(proxy.CannotConnectNow, "group %s is not in the document in force", ask.Group)
	}
	if ask.WaitTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, ask.WaitTimeout)
		defer cancel()
	}
	for {
		loan, err := f.lendOnce(ctx, ask)
		if err == nil || ask.WaitTimeout <= 0 || !elsewhere(err) || !timing.Sleep(ctx, roundInterval) {
			return loan, err
		}
	}
}

// lendOnce asks each pool host once.
func (f *Forwarder) lendOnce(ctx context.Context, ask proxy.ConnectionRequest) (proxy.AcquiredConnection, error) {
	group := f.group(ask.Group)
	if group == nil {
		return nil, proxy.Refuse(proxy.CannotConnectNow, "group %s is not in the document in force", ask.Group)
	}
	var err error
	for _, host := range f.order(group) {
		loan, lendErr := f.lendFrom(ctx, &host, ask)
		if lendErr == nil {
			return loan, nil
		}
		err = lendErr
		if ctx.Err() != nil || !elsewhere(err) {
			return nil, err
		}
	}
	if err == nil {
		err = proxy.Refuse(proxy.CannotConnectNow, "no host is known that pools group %s", ask.Group)
	}
	return nil, err
}

// lendFrom lends from one pool host within what is left of the patience.
func (f *Forwarder) lendFrom(ctx context.Context, host *proxy.HostState, ask proxy.ConnectionRequest) (proxy.AcquiredConnection, error) {
	if deadline, ok := ctx.Deadline(); ok && ask.WaitTimeout > 0 {
		ask.WaitTimeout = max(1, min(ask.WaitTimeout, time.Until(deadline)))
	}
	if host.ID == f.Host {
		return f.Local.Acquire(ctx, ask)
	}
	loan, err := f.Client.At(host.Address).Acquire(ctx, ask)
	if unreachable(err) && ctx.Err() == nil {
		f.suspect(host.Address)
	}
	return loan, err
}

// elsewhere reports that another pool host may serve the request: nothing of it
// was sent, and the refusal concerns the pool host and not the instances.
func elsewhere(err error) bool {
	var r *proxy.Refusal
	return errors.As(err, &r) && r.Outcome == proxy.NotRun && (unreachable(err) || r.State == proxy.CannotConnectNow)
}

// order returns the pool hosts with the suspects last.
func (f *Forwarder) order(group *proxy.Group) []proxy.HostState {
	preferred := f.Placement.Order(group)
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.suspects) == 0 {
		return preferred
	}
	var trusted, suspected []proxy.HostState
	for _, host := range preferred {
		until, suspect := f.suspects[host.Address]
		if suspect && now < until {
			suspected = append(suspected, host)
			continue
		}
		delete(f.suspects, host.Address)
		trusted = append(trusted, host)
	}
	return append(trusted, suspected...)
}

func (f *Forwarder) suspect(address string) {
	suspicion := f.Suspicion
	if suspicion <= 0 {
		suspicion = defaultSuspicion
	}
	until := f.Clock.Now().Add(suspicion)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.suspects == nil {
		f.suspects = make(map[string]proxy.Instant)
	}
	f.suspects[address] = until
}

func (f *Forwarder) group(id proxy.GroupID) *proxy.Group {
	document, _ := f.Catalog.Current()
	return document.Group(id)
}
