package promotion

import (
	"fmt"
	"time"
)

// Timing holds the intervals of the state machine. Only Lease matters for
// safety, and it must be equal on all hosts.
type Timing struct {
	// Lease is how long an answer of a replica allows acknowledgements.
	Lease time.Duration
	// Recent is the age up to which an observation counts in Ready and in
	// checks before a promotion.
	Recent time.Duration
	// FailAfter is how long fresh connections must have failed before a
	// primary is considered failed.
	FailAfter time.Duration
	// StallAfter is how long too few replicas may receive nothing although the
	// primary has written log.
	StallAfter time.Duration
	// LeadWithin is how long a named primary may take to start leading.
	LeadWithin time.Duration
	// AskFor is how long other hosts are asked for their view.
	AskFor time.Duration
	// ViewFor is how long the view of another host counts.
	ViewFor time.Duration
	// AloneAfter is how long a host that gets no view from others waits.
	AloneAfter time.Duration
	// Stagger delays the decisions of the hosts of lower rank.
	Stagger time.Duration
	// Repeat is the interval at which an order to an instance is repeated.
	Repeat time.Duration
	// FetchAfter is the interval between reads of the object while it matters.
	FetchAfter time.Duration
	// AttemptFor limits a promotion attempt.
	AttemptFor time.Duration
	// AbandonAfter is how long a replica may have left the term without a
	// promotion before the term is renewed.
	AbandonAfter time.Duration
	// HoldBase and HoldLimit bound the time between unplanned promotions. It
	// doubles with each promotion until CalmAfter passes without one.
	HoldBase, HoldLimit, CalmAfter time.Duration
	// DrainFor limits how long new writes wait for running ones in a planned
	// change, and how long a host holds them after the last request of another.
	// PlanAgain is the wait before the next try; it doubles.
	DrainFor, PlanAgain time.Duration
}

// DefaultTiming suits probes every 100 ms.
func DefaultTiming() Timing {
	return Timing{
		Lease:        240 * time.Millisecond,
		Recent:       500 * time.Millisecond,
		FailAfter:    500 * time.Millisecond,
		StallAfter:   1200 * time.Millisecond,
		LeadWithin:   3 * time.Second,
		AskFor:       100 * time.Millisecond,
		ViewFor:      time.Second,
		AloneAfter:   1500 * time.Millisecond,
		Stagger:      150 * time.Millisecond,
		Repeat:       100 * time.Millisecond,
		FetchAfter:   200 * time.Millisecond,
		AttemptFor:   3 * time.Second,
		AbandonAfter: time.Second,
		HoldBase:     time.Second,
		HoldLimit:    64 * time.Second,
		CalmAfter:    10 * time.Minute,
		DrainFor:     200 * time.Millisecond,
		PlanAgain:    2 * time.Second,
	}
}

// Validate reports an interval that is not positive.
func (t Timing) Validate() error {
	all := []time.Duration{
		t.Lease, t.Recent, t.FailAfter, t.StallAfter, t.LeadWithin, t.AskFor,
		t.ViewFor, t.AloneAfter, t.Stagger, t.Repeat, t.FetchAfter, t.AttemptFor,
		t.AbandonAfter, t.HoldBase, t.HoldLimit, t.CalmAfter, t.DrainFor, t.PlanAgain,
	}
	for _, d := range all {
		if d <= 0 {
			return fmt.Errorf("promotion timing: an interval is %v, want more than zero", d)
		}
	}
	return nil
}

// hold returns the time between the start of a term and the next unplanned
// promotion.
func (t Timing) hold(streak uint) time.Duration {
	if streak == 0 {
		return 0
	}
	d := t.HoldBase
	for i := uint(1); i < streak && d < t.HoldLimit; i++ {
		d *= 2
	}
	return min(d, t.HoldLimit)
}
