package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// errOldEra is returned for an answer of the store from before it came back from a copy.
var errOldEra = eris.New("answer is of an earlier era of the store")

// eraTracker holds the newest era of the store that this host knows. Its exported fields are set
// before use. It is safe for concurrent use.
type eraTracker struct {
	Log     zerolog.Logger
	Clock   proxy.Clock
	Metrics *Metrics

	mu  sync.Mutex
	era proxy.Era
	// since is when the host learned of the era: the store began it before.
	since proxy.Instant
	// ended is closed and replaced when the era ends.
	ended chan struct{}
	// irregular reports that the last answer named no era, or an earlier one.
	irregular bool
}

func newEraTracker(log zerolog.Logger, clock proxy.Clock, metrics *Metrics) *eraTracker {
	return &eraTracker{Log: log, Clock: clock, Metrics: metrics, ended: make(chan struct{})}
}

// observe records the era of an answer and returns the era that the answer belongs to: the
// current one if it names none. It returns false for an earlier era.
func (t *eraTracker) observe(era proxy.Era) (proxy.Era, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era > t.era {
		t.Log.Info().Uint64("before", uint64(t.era)).Uint64("era", uint64(era)).Msg("store is in a new era")
		t.Metrics.storeEras.Inc(1)
		t.era, t.since, t.irregular = era, t.Clock.Now(), false
		close(t.ended)
		t.ended = make(chan struct{})
		return era, true
	}
	if irregular := era != t.era; irregular != t.irregular {
		t.irregular = irregular
		if irregular {
			t.Log.Warn().Uint64("known", uint64(t.era)).Uint64("era", uint64(era)).Msg("store answers without the era or with an earlier one")
		}
	}
	return t.era, era == 0 || era == t.era
}

// current returns the era, and when this host learned of it.
func (t *eraTracker) current() (proxy.Era, proxy.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era, t.since
}

// withinEra returns a context that also ends when the store is in a later era than the given
// one, and a function that releases it.
func (t *eraTracker) withinEra(ctx context.Context, era proxy.Era) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	if era < t.era {
		cancel()
		return ctx, cancel
	}
	ended := t.ended
	go func() {
		select {
		case <-ended:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// eraStore is a store whose answers all belong to the newest known era.
type eraStore struct {
	store proxy.RecordStore
	eras  *eraTracker
}

var _ proxy.RecordStore = eraStore{}

// place sets the era of versions that an answer named.
func (s eraStore) place(versions ...*proxy.StoreVersion) error {
	era, ok := s.eras.observe(versions[0].Era)
	if !ok {
		return fmt.Errorf("era %d after %d: %w", versions[0].Era, era, errOldEra)
	}
	for _, v := range versions {
		v.Era = era
	}
	return nil
}

func (s eraStore) placeListing(listing proxy.Listing, err error) (proxy.Listing, error) {
	if err != nil {
		return proxy.Listing{}, err
	}
	versions := []*proxy.StoreVersion{&listing.Version}
	for n := range listing.Records {
		versions = append(versions, &listing.Records[n].Version)
	}
	return listing, s.place(versions...)
}

// List implements proxy.RecordStore.
func (s eraStore) List(ctx context.Context, kind proxy.Kind) (proxy.Listing, error) {
	return s.placeListing(s.store.List(ctx, kind))
}

// Watch implements proxy.RecordStore. It ends as soon as the host learns of a later era than
// that of after, whose versions may have been given out again.
func (s eraStore) Watch(
	ctx context.Context, kind proxy.Kind, after proxy.StoreVersion, wait time.Duration,
) (proxy.Listing, error) {
	ctx, cancel := s.eras.withinEra(ctx, after.Era)
	defer cancel()
	listing, err := s.placeListing(s.store.Watch(ctx, kind, after, wait))
	if err == nil && listing.Version.Era != after.Era {
		return proxy.Listing{}, fmt.Errorf("watch %s from era %d in era %d: %w", kind, after.Era, listing.Version.Era, proxy.ErrHistoryGone)
	}
	return listing, err
}

// Write implements proxy.RecordStore. The version of the result is of the era in which the store
// has written the object, or holds it after a conflict.
func (s eraStore) Write(
	ctx context.Context, kind proxy.Kind, name string, spec any, expected proxy.StoreVersion,
) (proxy.Record, error) {
	if err := s.checkExpected(expected); err != nil {
		return proxy.Record{}, fmt.Errorf("write %s/%.60q: %w", kind, name, err)
	}
	record, err := s.store.Write(ctx, kind, name, spec, expected)
	if record.Version.Version == 0 {
		return record, err
	}
	if placeErr := s.place(&record.Version); err == nil && placeErr != nil {
		return record, placeErr
	}
	return record, err
}

// Remove implements proxy.RecordStore.
func (s eraStore) Remove(ctx context.Context, kind proxy.Kind, name string, expected proxy.StoreVersion) error {
	if err := s.checkExpected(expected); err != nil {
		return fmt.Errorf("remove %s/%.60q: %w", kind, name, err)
	}
	return s.store.Remove(ctx, kind, name, expected)
}

// checkExpected returns proxy.ErrConflict for a version of an earlier era, which the store may
// have given out again for other content.
func (s eraStore) checkExpected(expected proxy.StoreVersion) error {
	era, _ := s.eras.current()
	if expected.Version != 0 && expected.Era != era {
		return fmt.Errorf("version of era %d in era %d: %w", expected.Era, era, proxy.ErrConflict)
	}
	return nil
}
