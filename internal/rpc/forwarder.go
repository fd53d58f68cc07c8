package rpc

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/auburnyoke/auburnyoke/internal/timing"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/placement"
)

// retryInterval is the time between two attempts over all pool hosts.
const retryInterval = 50 * time.Millisecond

// defaultSuspectDuration is the default of Forwarder.SuspectDuration.
const defaultSuspectDuration = time.Second

// Forwarder acquires connections from the pool host that the placement prefers for this
// host. It tries the next pool host only if nothing of the client's statement was sent.
// The exported fields are set before use. It implements proxy.Acquirer.
type Forwarder struct {
	// Host is this host and Local its own pool.
	Host      proxy.HostID
	Local     proxy.Acquirer
	Client    *Client
	Placement *placement.Table
	Catalog   proxy.Catalog
	Clock     proxy.Clock
	// SuspectDuration is the time for which an unreachable pool host is tried last.
	SuspectDuration time.Duration

	mu sync.Mutex
	// suspects holds the instants until which pool hosts are tried last, by address.
	suspects map[string]proxy.Instant
}

// Acquire implements proxy.Acquirer. If no pool host can serve the group, as may be the case
// for a short time after a start or while pool hosts change, it tries them again until the
// request's wait timeout ends.
func (f *Forwarder) Acquire(ctx context.Context, request proxy.ConnectionRequest) (proxy.AcquiredConnection, error) {
	if f.group(request.Group) == nil {
		return nil, proxy.Refuse(proxy.CannotConnectNow, "group %s is not in the document in force", request.Group)
	}
	if request.WaitTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, request.WaitTimeout)
		defer cancel()
	}
	for {
		acquired, err := f.acquireOnce(ctx, request)
		if err == nil || request.WaitTimeout <= 0 || !mayTryNextHost(err) || !timing.Sleep(ctx, retryInterval) {
			return acquired, err
		}
	}
}

// acquireOnce tries each pool host once.
func (f *Forwarder) acquireOnce(ctx context.Context, request proxy.ConnectionRequest) (proxy.AcquiredConnection, error) {
	group := f.group(request.Group)
	if group == nil {
		return nil, proxy.Refuse(proxy.CannotConnectNow, "group %s is not in the document in force", request.Group)
	}
	var err error
	for _, host := range f.poolHosts(group) {
		acquired, acquireErr := f.acquireFrom(ctx, &host, request)
		if acquireErr == nil {
			return acquired, nil
		}
		err = acquireErr
		if ctx.Err() != nil || !mayTryNextHost(err) {
			return nil, err
		}
	}
	if err == nil {
		err = proxy.Refuse(proxy.CannotConnectNow, "no host is known that pools group %s", request.Group)
	}
	return nil, err
}

// acquireFrom acquires a connection from one pool host. It limits the request's wait
// timeout to the time that remains until the deadline of ctx.
func (f *Forwarder) acquireFrom(ctx context.Context, host *proxy.HostState, request proxy.ConnectionRequest) (proxy.AcquiredConnection, error) {
	if deadline, ok := ctx.Deadline(); ok && request.WaitTimeout > 0 {
		request.WaitTimeout = max(1, min(request.WaitTimeout, time.Until(deadline)))
	}
	if host.ID == f.Host {
		return f.Local.Acquire(ctx, request)
	}
	acquired, err := f.Client.RemotePool(host.Address).Acquire(ctx, request)
	if isUnreachable(err) && ctx.Err() == nil {
		f.markSuspect(host.Address)
	}
	return acquired, err
}

// mayTryNextHost reports whether another pool host may serve the request. This is the
// case if nothing of the client's statement was sent and the refusal concerns the pool
// host, not the instances.
func mayTryNextHost(err error) bool {
	var refusal *proxy.Refusal
	return errors.As(err, &refusal) && refusal.Outcome == proxy.NotRun && (isUnreachable(err) || refusal.State == proxy.CannotConnectNow)
}

// poolHosts returns the pool hosts in the order of the placement, but suspects last.
func (f *Forwarder) poolHosts(group *proxy.Group) []proxy.HostState {
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

func (f *Forwarder) markSuspect(address string) {
	duration := f.SuspectDuration
	if duration <= 0 {
		duration = defaultSuspectDuration
	}
	until := f.Clock.Now().Add(duration)
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
