package pool

import (
	"context"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// admit waits until the group can serve the ask and returns it with the oldest
// history that a read may see.
//
// A read must not come from a primary that was replaced before the read
// arrived, nor be compared with one: a session may have written through another
// host to the new primary. The leases of the current term at an instant after
// the arrival show that no later term had begun. A read that accepts an age
// needs them at an instant that much earlier.
func (p *Pool) admit(ctx context.Context, ask proxy.ConnectionRequest) (proxy.ConnectionRequest, error) {
	if ask.Access == proxy.Write {
		return ask, p.awaitReady(ctx, ask.Group)
	}
	arrived := p.Clock.Now()
	if ask.MaxStaleness == 0 && !ask.AfterCoversWrites {
		ask.After = p.bound(ctx, ask)
	}
	return ask, p.awaitLeases(ctx, ask, arrived.Add(-ask.MaxStaleness))
}

// beyondLog is a position that no replica has replayed; it sends a read to the
// primary.
const beyondLog = ^proxy.Position(0)

// bound returns a bookmark that covers every write acknowledged before the call
// in the current term.
func (p *Pool) bound(ctx context.Context, ask proxy.ConnectionRequest) proxy.Bookmark {
	leadership, known := p.Leaders.Leader(ask.Group)
	if !known {
		return ask.After
	}
	at := proxy.Bookmark{Term: leadership.Term, Position: beyondLog}
	if p.Bound != nil {
		if position, err := p.Bound(ctx, ask.Group, leadership.Primary); err == nil {
			at.Position = position
		}
	}
	if at.Before(ask.After) {
		return ask.After
	}
	return at
}

// awaitLeases waits until the current term is known to have been in force at an
// instant.
func (p *Pool) awaitLeases(ctx context.Context, ask proxy.ConnectionRequest, at proxy.Instant) error {
	for {
		changed := p.changes.wait()
		leadership, known := p.Leaders.Leader(ask.Group)
		if known {
			err := p.Leaders.Acknowledge(at, ask.Group, leadership.Primary, proxy.Bookmark{Term: leadership.Term})
			if err == nil {
				return nil
			}
		}
		if ctx.Err() != nil {
			return p.busy("group %s: its primary could not be verified in time", ask.Group)
		}
		if known && p.Await != nil {
			p.Await(ctx, ask.Group)
			continue
		}
		p.await(ctx, changed)
	}
}

// Advance tells what somebody else measured of an instance that leads or
// follows a term, which may be newer than the pool's own measurement.
func (p *Pool) Advance(group proxy.GroupID, id proxy.InstanceID, term proxy.Term, at proxy.Position, seen proxy.Instant) {
	if p.states.advance(group, id, term, at, seen) {
		p.changes.announce()
	}
}
