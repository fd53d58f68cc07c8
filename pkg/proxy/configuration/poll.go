package configuration

import (
	"fmt"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Poll asks a peer for its revision in force.
type Poll struct {
	// Nonce is returned in the Report that answers the poll. It is never zero.
	Nonce uint64 `cbor:"1,keyasint"`
	// Revision is the sender's revision in force.
	Revision proxy.Revision `cbor:"2,keyasint"`
}

// Validate implements proxy.Message.
func (p *Poll) Validate() error {
	if p.Nonce == 0 {
		return fmt.Errorf("poll: nonce must not be zero")
	}
	return nil
}

// Report states the sender's revision in force. It answers a Poll, or, with a
// zero Nonce, announces a new revision.
type Report struct {
	Nonce    uint64         `cbor:"1,keyasint"`
	Revision proxy.Revision `cbor:"2,keyasint"`
	// Data holds the encoded revision if the polling host has an older one.
	Data []byte `cbor:"3,keyasint,omitempty"`
	// AgeKnown reports whether Age is known.
	AgeKnown bool `cbor:"4,keyasint"`
	// Age is the time since the platform last answered the sender or a host whose
	// report the sender received.
	Age time.Duration `cbor:"5,keyasint"`
}

// Validate implements proxy.Message.
func (r *Report) Validate() error {
	if len(r.Data) > 2*proxy.MaxObjectSize {
		return fmt.Errorf("report: document of %d bytes is larger than an object of the platform", len(r.Data))
	}
	if r.Age < 0 {
		return fmt.Errorf("report: age %v must not be negative", r.Age)
	}
	return nil
}

// receive handles the messages of peers.
func (t *Table) receive(now proxy.Instant, e proxy.Received, result decodeResult) []proxy.Effect {
	switch m := e.Message.(type) {
	case *Poll:
		return t.handlePoll(now, e.From, m)
	case *Report:
		return t.handleReport(now, e.From, m, result)
	}
	return nil
}

func (t *Table) handlePoll(now proxy.Instant, from proxy.HostID, p *Poll) []proxy.Effect {
	report := &Report{Nonce: p.Nonce, Revision: t.current.Revision, AgeKnown: t.everReached}
	if t.everReached {
		report.Age = now.Sub(t.reachedAt)
	}
	if t.current.Revision > p.Revision {
		report.Data = t.current.Data
	}
	effects := []proxy.Effect{proxy.Send{To: from, Message: report}}
	if p.Revision > t.current.Revision {
		effects = append(effects, t.poll(now, from, p.Nonce))
	}
	return effects
}

func (t *Table) handleReport(now proxy.Instant, from proxy.HostID, r *Report, result decodeResult) []proxy.Effect {
	sentAt, polled := t.polls[r.Nonce]
	if polled {
		delete(t.polls, r.Nonce)
		if r.AgeKnown {
			// The peer computed Age after this poll was sent, so subtracting it
			// from the time of sending never makes the contact look more recent
			// than it was.
			t.recordReached(sentAt.Add(-r.Age))
		}
	}
	if len(r.Data) > 0 {
		return t.adopt(now, result)
	}
	if r.Revision > t.current.Revision {
		return []proxy.Effect{t.poll(now, from, uint64(now))}
	}
	return nil
}
