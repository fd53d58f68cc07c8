package configuration

import (
	"fmt"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Poll asks a peer for its revision.
type Poll struct {
	// Nonce is returned with the report; never zero.
	Nonce uint64 `cbor:"1,keyasint"`
	// Revision is the asking host's revision in force.
	Revision proxy.Revision `cbor:"2,keyasint"`
}

// Validate implements proxy.Message.
func (p *Poll) Validate() error {
	if p.Nonce == 0 {
		return fmt.Errorf("poll: nonce must not be zero")
	}
	return nil
}

// Report tells a host's revision. It answers a Poll, or announces a new
// revision without a nonce.
type Report struct {
	Nonce    uint64         `cbor:"1,keyasint"`
	Revision proxy.Revision `cbor:"2,keyasint"`
	// Data holds the encoded revision if the asking host has an older one.
	Data []byte `cbor:"3,keyasint,omitempty"`
	// Reached reports whether Age is known.
	Reached bool `cbor:"4,keyasint"`
	// Age is the time since the platform was reached by the reporting host or
	// one that it heard from.
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
func (t *Table) receive(now proxy.Instant, e proxy.Received, found decoded) []proxy.Effect {
	switch m := e.Message.(type) {
	case *Poll:
		return t.answer(now, e.From, m)
	case *Report:
		return t.learn(now, e.From, m, found)
	}
	return nil
}

func (t *Table) answer(now proxy.Instant, from proxy.HostID, p *Poll) []proxy.Effect {
	report := &Report{Nonce: p.Nonce, Revision: t.current.Revision, Reached: t.everSeen}
	if t.everSeen {
		report.Age = now.Sub(t.reached)
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

func (t *Table) learn(now proxy.Instant, from proxy.HostID, r *Report, found decoded) []proxy.Effect {
	sent, asked := t.polls[r.Nonce]
	if asked {
		delete(t.polls, r.Nonce)
		if r.Reached {
			// The peer's age was taken after the poll was sent, so counting it
			// from the sending never makes the contact look more recent.
			t.reach(sent.Add(-r.Age))
		}
	}
	if len(r.Data) > 0 {
		return t.adopt(now, found)
	}
	if r.Revision > t.current.Revision {
		return []proxy.Effect{t.poll(now, from, uint64(now))}
	}
	return nil
}
