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
	// reportInterval is the longest time between two writes of the status object.
	reportInterval = time.Minute
	// minReportRetryDelay is the delay before a failed write of the status is
	// repeated. It doubles up to maxReportRetryDelay, so that the hosts do not all
	// write within the second in which the platform recovers.
	minReportRetryDelay = time.Second
	maxReportRetryDelay = 30 * time.Second
	// lastReportTimeout limits the write of the last status before the host stops.
	lastReportTimeout = time.Second
)

// reporter writes the host's status object when the revision in force changes,
// and at intervals.
type reporter struct {
	host      *Host
	requested chan struct{}
	version   proxy.Version
}

func newReporter(h *Host) *reporter {
	return &reporter{host: h, requested: make(chan struct{}, 1)}
}

// requestReport makes run write a status without waiting for the interval.
func (r *reporter) requestReport() {
	select {
	case r.requested <- struct{}{}:
	default:
	}
}

func (r *reporter) run(ctx context.Context) {
	retry := minReportRetryDelay
	for ctx.Err() == nil {
		interval := reportInterval
		if err := r.report(ctx); err != nil {
			r.host.log.Warn().Err(err).Msg("status not written to the platform")
			interval = retry
			retry = min(2*retry, maxReportRetryDelay)
		} else {
			retry = minReportRetryDelay
		}
		timer := time.NewTimer(interval)
		select {
		case <-r.requested:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// report writes the status. In a conflict it overwrites the object, which was
// written by an earlier incarnation of this host or by this reporter in a call whose
// answer was lost.
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

// reportLeaving writes the last status, which shows operators that the host has
// left. It gives up after a short time, since a platform that does not answer must
// not delay the stop.
func (h *Host) reportLeaving() {
	ctx, cancel := context.WithTimeout(context.Background(), lastReportTimeout)
	defer cancel()
	if err := newReporter(h).report(ctx); err != nil {
		h.log.Warn().Err(err).Msg("last status not written to the platform")
	}
}
