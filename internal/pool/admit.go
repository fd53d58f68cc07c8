package pool

import (
	"context"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// admit waits until the group can serve the request. It returns the request with
// After set to the minimum position of a read.
//
// A read must not be served by a primary that was replaced before the read arrived,
// nor use such a primary's position as its minimum, because the session may have
// written to the new primary through another host. Leases of the current term that
// are valid at an instant after the arrival prove that no later term had begun. For a
// read that accepts stale data, that instant is earlier by the accepted staleness.
func (p *Pool) admit(ctx context.Context, request proxy.ConnectionRequest) (proxy.ConnectionRequest, error) {
	if request.Access == proxy.Write {
		return request, p.awaitWritable(ctx, request.Group)
	}
	arrived := p.Clock.Now()
	if request.MaxStaleness == 0 && !request.AfterCoversWrites {
		request.After = p.minimumPosition(ctx, request)
	}
	return request, p.awaitLeases(ctx, request, arrived.Add(-request.MaxStaleness))
}

// positionBeyondLog is a position that no replica ever reaches. A read with this
// minimum position goes to the primary.
const positionBeyondLog = ^proxy.Position(0)

// minimumPosition returns a bookmark that covers every write acknowledged in the
// current term before the call.
func (p *Pool) minimumPosition(ctx context.Context, request proxy.ConnectionRequest) proxy.Bookmark {
	leadership, known := p.Leaders.Leader(request.Group)
	if !known {
		return request.After
	}
	minimum := proxy.Bookmark{Term: leadership.Term, Position: positionBeyondLog}
	if p.PrimaryPosition != nil {
		if position, err := p.PrimaryPosition(ctx, request.Group, leadership.Primary); err == nil {
			minimum.Position = position
		}
	}
	if minimum.Before(request.After) {
		return request.After
	}
	return minimum
}

// awaitLeases waits until the current term is known to have been in force at the given
// instant.
func (p *Pool) awaitLeases(ctx context.Context, request proxy.ConnectionRequest, at proxy.Instant) error {
	for {
		changed := p.changes.wait()
		leadership, known := p.Leaders.Leader(request.Group)
		if known {
			err := p.Leaders.Acknowledge(at, request.Group, leadership.Primary, proxy.Bookmark{Term: leadership.Term})
			if err == nil {
				return nil
			}
		}
		if ctx.Err() != nil {
			return p.refuseBusy("group %s: its primary could not be verified in time", request.Group)
		}
		if known && p.AwaitObservation != nil {
			p.AwaitObservation(ctx, request.Group)
			continue
		}
		p.awaitChange(ctx, changed)
	}
}

// RecordPosition records a log position of an instance that leads or follows a term.
// It is for positions measured outside the pool, which may be newer than the pool's
// own.
func (p *Pool) RecordPosition(group proxy.GroupID, id proxy.InstanceID, term proxy.Term, position proxy.Position, measuredAt proxy.Instant) {
	if p.states.recordPosition(group, id, term, position, measuredAt) {
		p.changes.notify()
	}
}
