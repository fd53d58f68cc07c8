package promotion_test

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/promotion"
)

var errLost = errors.New("no answer")

// store simulates the platform's object store with one object.
type store struct {
	w       *simulation
	value   []byte
	version proxy.Version
	outages int
	// slow delays every call.
	slow time.Duration
	// loseAnswer is the probability that the answer to a write is lost, and
	// delayWrite the probability that a write takes effect only after the host
	// has stopped waiting for it.
	loseAnswer, delayWrite float64
	calls                  int
}

const (
	platform    = "platform"
	callTimeout = 300 * time.Millisecond
)

// outage makes the platform unreachable for d.
func (s *store) outage(d time.Duration) {
	s.outages++
	s.w.after(d, func() { s.outages-- })
}

// call runs do at the platform and then answer at the host, or lost at the host if no
// answer arrives within callTimeout.
func (s *store) call(h *host, do func(), answer, lost func()) {
	s.calls++
	incarnation := h.incarnation
	finished := false
	s.w.after(callTimeout, func() {
		if !finished {
			finished = true
			h.do(incarnation, lost)
		}
	})
	s.w.send(h.name(), platform, func() {
		s.w.after(s.slow, func() {
			if s.outages > 0 {
				return
			}
			do()
			s.w.send(platform, h.name(), func() {
				if !finished {
					finished = true
					h.do(incarnation, answer)
				}
			})
		})
	})
}

func (s *store) get(h *host, key proxy.Key) {
	sent := h.clock()
	var object proxy.Object
	err := proxy.ErrNotFound
	s.call(h, func() {
		if s.version > 0 {
			object, err = proxy.Object{Value: s.value, Version: s.version}, nil
		}
	}, func() {
		object.Key = key
		h.handle(proxy.Fetched{Object: object, Sent: sent, Err: err})
	}, func() {
		h.handle(proxy.Fetched{Object: proxy.Object{Key: key}, Sent: sent, Err: errLost})
	})
}

func (s *store) put(h *host, p proxy.Put) {
	sent := h.clock()
	lost := func() { h.handle(proxy.Written{Key: p.Key, Sent: sent, Err: errLost}) }
	if s.w.chance(s.delayWrite) {
		s.w.after(s.w.between(callTimeout, 3*time.Second), func() { s.write(p) })
		s.w.after(callTimeout, func() { h.do(h.incarnation, lost) })
		return
	}
	var version proxy.Version
	var err error
	s.call(h, func() { version, err = s.write(p) }, func() {
		if s.w.chance(s.loseAnswer) {
			lost()
			return
		}
		h.handle(proxy.Written{Key: p.Key, Version: version, Sent: sent, Err: err})
	}, lost)
}

// write applies a conditional write and notifies the watches.
func (s *store) write(p proxy.Put) (proxy.Version, error) {
	if s.version != p.Expected {
		return 0, proxy.ErrConflict
	}
	s.version++
	s.w.injectFaultsDuringChange()
	s.value = p.Value
	object := proxy.Object{Key: p.Key, Value: p.Value, Version: s.version}
	for _, h := range s.w.hosts {
		s.notify(h, object)
	}
	return s.version, nil
}

// notify delivers a change to a host's watch, and retries after a second if the host
// or the platform could not be reached.
func (s *store) notify(h *host, object proxy.Object) {
	// The request of a watch is sent long before the change that answers it.
	sent := h.clock().Add(-time.Second)
	arrived := false
	s.w.after(time.Second, func() {
		if !arrived && object.Version == s.version {
			s.notify(h, object)
		}
	})
	if s.outages > 0 {
		return
	}
	incarnation := h.incarnation
	s.w.send(platform, h.name(), func() {
		arrived = true
		h.do(incarnation, func() { h.handle(proxy.Fetched{Object: object, Sent: sent}) })
	})
}

// requestSwitchover writes an operator's request for a switchover to i into the object.
func (w *simulation) requestSwitchover(i *instance) {
	o, err := promotion.Decode(w.store.value)
	if err != nil {
		return
	}
	o.RequestedPrimary = i.id
	value, err := json.Marshal(o)
	if err != nil {
		panic(err)
	}
	key := promotion.Key("loom", proxy.Production, simulatedGroup)
	if _, err := w.store.write(proxy.Put{Key: key, Value: value, Expected: w.store.version}); err != nil {
		panic(err)
	}
}
