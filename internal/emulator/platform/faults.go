package platform

import (
	"fmt"
	"sync"
	"time"
)

// Faults are the failures that an emulated platform shows.
type Faults struct {
	// Delay is added to each call before it takes effect.
	Delay time.Duration `json:"delay"`
	// Outage refuses every call before it takes effect.
	Outage bool `json:"outage"`
	// Lose is the number of following writes that take effect although their
	// answer is lost.
	Lose int `json:"lose"`
}

// Validate reports negative values.
func (f Faults) Validate() error {
	if f.Delay < 0 {
		return fmt.Errorf("faults: delay %v must not be negative", f.Delay)
	}
	if f.Lose < 0 {
		return fmt.Errorf("faults: lose %d must not be negative", f.Lose)
	}
	return nil
}

// switchboard holds the faults in force.
type switchboard struct {
	mu     sync.Mutex
	faults Faults
}

func (s *switchboard) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *switchboard) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// loseAnswer reports whether the answer of the current write is to be lost and
// counts it.
func (s *switchboard) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Lose == 0 {
		return false
	}
	s.faults.Lose--
	return true
}
