package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/environment"
)

const (
	// reportInterval is the longest time between two status objects of a host.
	reportInterval = time.Minute
	// reportRetry is the time until a status that was not written is written
	// again. It doubles up to reportRetryLimit, so that the hosts do not all
	// write in the second in which the platform comes back.
	reportRetry      = time.Second
	reportRetryLimit = 30 * time.Second
	// lastReportTimeout limits the writing of the last status.
	lastReportTimeout = time.Second
)

// reporter writes the host's status object when the revision in force changes,
// and at intervals.
type reporter struct {
	host    *Host
	changed chan struct{}
	version proxy.Version
}

func newReporter(h *Host) *reporter {
	return &reporter{host: h, changed: make(chan struct{}, 1)}
}

// wake asks for a report at once.
func (r *reporter) wake() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

func (r *reporter) run(ctx context.Context) {
	retry := reportRetry
	for ctx.Err() == nil {
		interval := reportInterval
		if err := r.report(ctx); err != nil {
			r.host.log.Warn().Err(err).Msg("status not written to the platform")
			interval = retry
			retry = min(2*retry, reportRetryLimit)
		} else {
			retry = reportRetry
		}
		timer := time.NewTimer(interval)
		select {
		case <-r.changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// report writes the status. A conflict is with an earlier incarnation of this host or
// with a write of its own whose answer was lost, so it is overwritten.
func (r *reporter) report(ctx context.Context) error {
	h := r.host
	status := &environment.HostStatus{
		Host: h.self.ID, Zone: h.self.Zone, Address: h.self.Address, Incarnation: h.self.Incarnation,
		Time: time.Now(), Leaving: h.stopping.Load(),
	}
	loaded := h.configuration.Loaded()
	status.Revision, status.Digest = loaded.Revision, environment.Digest(loaded.Digest)
	value, err := environment.EncodeStatus(status)
	if err != nil {
		return fmt.Errorf("encode status: %w", err)
	}
	key := environment.StatusKey(h.settings.Environment, h.settings.Stage, h.self.ID)
	r.version, err = r.put(ctx, key, value)
	return err
}

func (r *reporter) put(ctx context.Context, key proxy.Key, value []byte) (proxy.Version, error) {
	store := r.host.store
	version, err := store.Put(ctx, key, value, r.version)
	if !errors.Is(err, proxy.ErrConflict) {
		return version, err
	}
	current, err := store.Get(ctx, key)
	if err != nil && !errors.Is(err, proxy.ErrNotFound) {
		return r.version, fmt.Errorf("read status: %w", err)
	}
	return store.Put(ctx, key, value, current.Version)
}

// reportLeaving writes the last status, from which operators see that the host has
// left. It is not worth delaying the stop if the platform does not answer.
func (h *Host) reportLeaving() {
	ctx, cancel := context.WithTimeout(context.Background(), lastReportTimeout)
	defer cancel()
	if err := newReporter(h).report(ctx); err != nil {
		h.log.Warn().Err(err).Msg("last status not written to the platform")
	}
}
