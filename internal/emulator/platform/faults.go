package platform

import (
	"fmt"
	"sync"
	"time"
)

// Faults are the faults that an emulated platform simulates.
type Faults struct {
	// Delay is added to each call before it takes effect.
	Delay time.Duration `json:"delay"`
	// Outage makes every call fail before it takes effect.
	Outage bool `json:"outage"`
	// LoseAnswers is the number of coming writes that take effect but whose answers
	// are lost.
	LoseAnswers int `json:"lose"`
}

// Validate returns an error if a value is negative.
func (f Faults) Validate() error {
	if f.Delay < 0 {
		return fmt.Errorf("faults: delay %v must not be negative", f.Delay)
	}
	if f.LoseAnswers < 0 {
		return fmt.Errorf("faults: lose %d must not be negative", f.LoseAnswers)
	}
	return nil
}

// faultState holds the current faults. It is safe for concurrent use.
type faultState struct {
	mu     sync.Mutex
	faults Faults
}

func (s *faultState) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *faultState) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// loseAnswer reports whether to lose the answer to the current write. If so, it
// decrements the number of answers to lose.
func (s *faultState) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}
