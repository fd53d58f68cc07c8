package promotion

import (
	"fmt"
	"time"
)

// Timing holds the intervals of the state machine. Only Lease matters for
// safety, and it must be equal on all hosts.
type Timing struct {
	// Lease is how long the answer of a replica permits acknowledgements.
	Lease time.Duration
	// MaxObservationAge is the age up to which an observation counts in Ready
	// and in the checks before a promotion.
	MaxObservationAge time.Duration
	// FailureTimeout is how long fresh connections to a primary must have failed
	// before the primary is considered failed.
	FailureTimeout time.Duration
	// StallTimeout is how long the position that a write quorum has received may
	// stay the same although the primary has written more log, before the primary
	// is considered failed.
	StallTimeout time.Duration
	// PromotionTimeout is how long an instance that was chosen as primary may
	// take to start leading.
	PromotionTimeout time.Duration
	// ReportWait is how long a host waits for the health reports of others
	// after it began to suspect the primary.
	ReportWait time.Duration
	// MaxReportAge is the age up to which a health report of another host counts.
	MaxReportAge time.Duration
	// NoReportWait is how long a host waits if it receives no health reports.
	NoReportWait time.Duration
	// Stagger is the delay of a decision for each rank below the highest, so
	// that usually only one host acts.
	Stagger time.Duration
	// RetryInterval is the interval at which commands to an instance and
	// requests for health reports are repeated.
	RetryInterval time.Duration
	// FetchInterval is the time after which an unanswered read of the object is
	// repeated.
	FetchInterval time.Duration
	// AttemptTimeout limits an attempt to change the primary, and the wait for
	// the result of a write of the object.
	AttemptTimeout time.Duration
	// RenewalDelay is how long a replica may have left the term without a
	// promotion before the term is renewed.
	RenewalDelay time.Duration
	// FailoverBackoff is the wait from the start of a term to the next failover.
	// It doubles with each failover, up to MaxFailoverBackoff, until
	// FailoverBackoffReset passes without one.
	FailoverBackoff, MaxFailoverBackoff, FailoverBackoffReset time.Duration
	// DrainTimeout limits how long new writes wait for running ones in a
	// switchover, and how long a host holds them after the last Drain of another.
	// SwitchoverRetryDelay is the wait before the next attempt; it doubles.
	DrainTimeout, SwitchoverRetryDelay time.Duration
}

// DefaultTiming returns intervals for hosts that probe every 100 ms.
func DefaultTiming() Timing {
	return Timing{
		Lease:                240 * time.Millisecond,
		MaxObservationAge:    500 * time.Millisecond,
		FailureTimeout:       500 * time.Millisecond,
		StallTimeout:         1200 * time.Millisecond,
		PromotionTimeout:     3 * time.Second,
		ReportWait:           100 * time.Millisecond,
		MaxReportAge:         time.Second,
		NoReportWait:         1500 * time.Millisecond,
		Stagger:              150 * time.Millisecond,
		RetryInterval:        100 * time.Millisecond,
		FetchInterval:        200 * time.Millisecond,
		AttemptTimeout:       3 * time.Second,
		RenewalDelay:         time.Second,
		FailoverBackoff:      time.Second,
		MaxFailoverBackoff:   64 * time.Second,
		FailoverBackoffReset: 10 * time.Minute,
		DrainTimeout:         200 * time.Millisecond,
		SwitchoverRetryDelay: 2 * time.Second,
	}
}

// Validate returns an error if an interval is not positive.
func (t Timing) Validate() error {
	all := []time.Duration{
		t.Lease, t.MaxObservationAge, t.FailureTimeout, t.StallTimeout, t.PromotionTimeout,
		t.ReportWait, t.MaxReportAge, t.NoReportWait, t.Stagger, t.RetryInterval,
		t.FetchInterval, t.AttemptTimeout, t.RenewalDelay, t.FailoverBackoff,
		t.MaxFailoverBackoff, t.FailoverBackoffReset, t.DrainTimeout, t.SwitchoverRetryDelay,
	}
	for _, d := range all {
		if d <= 0 {
			return fmt.Errorf("promotion timing: an interval is %v, want more than zero", d)
		}
	}
	return nil
}

// failoverBackoff returns the minimum time between the start of a term and the
// next failover.
func (t Timing) failoverBackoff(recentFailovers uint) time.Duration {
	if recentFailovers == 0 {
		return 0
	}
	d := t.FailoverBackoff
	for i := uint(1); i < recentFailovers && d < t.MaxFailoverBackoff; i++ {
		d *= 2
	}
	return min(d, t.MaxFailoverBackoff)
}
