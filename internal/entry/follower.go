package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/internal/peering"
	"github.com/auburnyoke/auburnyoke/internal/timing"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// follower keeps a kind of the store's objects up to date, from the store or
// from another host of its zone.
type follower struct {
	host *Host
	kind proxy.Kind
	wait time.Duration
	// maxAge is the age at which a relay's proof is too old.
	maxAge time.Duration
	mirror *mirror
	// replace receives the whole state, change single changes; proof is the
	// instant as of which nothing else has changed.
	replace func(proof proxy.Instant, records []proxy.Record)
	change  func(proof proxy.Instant, records []proxy.Record)

	// relay is the host that was followed last.
	relay proxy.HostID
	// version is the store's version of the state, zero for none.
	version proxy.Version
	// proof is the instant as of which the state was known to be complete.
	proof proxy.Instant
	// relist reports that the last call failed, so that the next one lists.
	relist bool
	// detour is the instant until which hosts of other zones are followed, since
	// the store does not answer this host.
	detour proxy.Instant
	// failing reports that the last call to the store failed.
	failing bool
}

func (h *Host) newFollower(kind proxy.Kind, wait time.Duration) *follower {
	f := &follower{host: h, kind: kind, wait: wait, mirror: h.mirrors[kind]}
	f.maxAge = 2*wait + relayAge
	if wait > proofWait {
		// Nothing depends on the age of this kind.
		f.maxAge = unprovenAge
	}
	return f
}

func (f *follower) run(ctx context.Context) {
	pause := retryTime
	for ctx.Err() == nil {
		if relay, ok := f.host.relayFor(f.host.Clock.Now() < f.detour, f.relay); ok {
			if !f.follow(ctx, relay) && !timing.Sleep(ctx, hopTime) {
				return
			}
			continue
		}
		watched := f.version != 0 && !f.relist
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		f.relist = err != nil
		if err != nil && watched {
			// A store that holds watches back, or has dropped its history, may still
			// answer a listing at once.
			f.host.Log.Info().Err(err).Str("kind", string(f.kind)).Msg("watch ended, listing again")
			continue
		}
		if err != nil {
			f.detour = f.host.Clock.Now().Add(detourTime)
		}
		f.note(err)
		switch {
		case err == nil:
			pause = retryTime
		case !timing.Sleep(ctx, jitter(pause)):
			return
		default:
			pause = min(2*pause, maxRetryTime)
		}
	}
}

// jitter spreads a pause by a quarter, so that hosts do not call all at once.
func jitter(pause time.Duration) time.Duration {
	return time.Duration(float64(pause) * (0.75 + rand.Float64()/2))
}

// step makes one call to the store. It lists where the state is unknown, or so
// old that a proof is needed before a watch would bring one.
func (f *follower) step(ctx context.Context) error {
	sent := f.host.Clock.Now()
	f.host.Metrics.calls.Inc(1)
	if f.version == 0 || f.relist || sent.Sub(f.proof) > f.wait+staleTime {
		listing, err := f.host.Store.List(ctx, f.kind)
		if err != nil {
			return fmt.Errorf("list: %w", err)
		}
		f.take(sent, listing, true, 0)
		return nil
	}
	listing, err := f.host.Store.Watch(ctx, f.kind, f.version, f.wait)
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	f.take(sent, listing, false, 0)
	return nil
}

// take applies a listing or changes that came over a number of relays. The
// mirror follows what the host itself has applied.
func (f *follower) take(proof proxy.Instant, listing proxy.Listing, whole bool, hops int) {
	if whole {
		f.replace(proof, listing.Records)
		f.mirror.replace(proof, listing, hops)
	} else {
		f.change(proof, listing.Records)
		f.mirror.change(proof, listing, hops)
	}
	f.version, f.proof = listing.Version, proof
}

// follow takes one answer of a relay. It returns false where the relay does not
// answer or its proof is too old, so that the store has to be asked.
func (f *follower) follow(ctx context.Context, relay peering.Peer) bool {
	f.relay = relay.Host
	if !f.host.trusted(ctx, relay) {
		return false
	}
	sent := f.host.Clock.Now()
	answer, err := f.host.fetch(ctx, relay, f.kind, f.version, relayWait+f.mirror.gather+relaySlack)
	if err != nil {
		if ctx.Err() == nil {
			f.host.distrust(relay.Host, err)
		}
		return false
	}
	proof := sent.Add(min(answer.Lead, 0))
	if age := f.host.Clock.Now().Sub(proof); age > f.maxAge {
		f.host.distrust(relay.Host, eris.Errorf("proof of %s is %v old", f.kind, age))
		return false
	}
	if answer.Hops > maxHops {
		f.host.distrust(relay.Host, eris.Errorf("%s came over %d relays", f.kind, answer.Hops))
		return false
	}
	if answer.Version < f.version {
		// The relay has yet to learn what this host has read itself.
		return true
	}
	records, err := f.mirror.unpack(answer.Changes)
	if err != nil {
		// The relay sends everything once it is asked by a host that knows nothing.
		f.host.Log.Info().Err(err).Str("relay", string(relay.Host)).Str("kind", string(f.kind)).Msg("whole state needed")
		f.version = 0
		return true
	}
	f.take(proof, proxy.Listing{Records: records, Version: answer.Version}, answer.Whole, answer.Hops+1)
	return true
}

func (f *follower) note(err error) {
	failing := err != nil
	if failing != f.failing {
		f.failing = failing
		if failing {
			f.mirror.fail()
			f.host.Log.Warn().Err(err).Str("kind", string(f.kind)).Msg("store lost")
		} else {
			f.host.Log.Info().Str("kind", string(f.kind)).Msg("store regained")
		}
	}
}
