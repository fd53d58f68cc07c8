package limit

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// claim is the content of a slot's object. A claim without a host is free.
type claim struct {
	Host        proxy.HostID      `json:"host"`
	Incarnation proxy.Incarnation `json:"incarnation"`
	// Slots is the number of slots, which all hosts must agree on.
	Slots int `json:"slots"`
}

// slot is what the host knows of one slot's object.
type slot struct {
	claim   claim
	version proxy.Version
	known   bool
	// seen is the instant after which the version was first seen. A holder
	// that renewed its lease would have changed the version.
	seen proxy.Instant
	mine bool
	// until is the end of the lease, renewed the request that started it.
	until   proxy.Instant
	renewed proxy.Instant
	// left is the instant at which the host stopped using the slot, or zero.
	left proxy.Instant
	// issued is the instant of the call in progress, or zero; put tells which.
	issued proxy.Instant
	put    claim
}

func (t *Table) key(n int) proxy.Key { return t.Prefix + proxy.Key(strconv.Itoa(n)) }

func (t *Table) slotOf(key proxy.Key) (int, bool) {
	text, ok := strings.CutPrefix(string(key), string(t.Prefix))
	n, err := strconv.Atoi(text)
	return n, ok && err == nil && n >= 0 && n < t.Slots
}

// tickSlots reads, renews, claims and gives up slots.
func (t *Table) tickSlots(now proxy.Instant, random uint64) []proxy.Effect {
	var effects []proxy.Effect
	if t.listed == 0 || now.Sub(t.listed) >= t.refresh() {
		t.listed = now
		effects = append(effects, proxy.List{Prefix: t.Prefix})
	}
	held, busy := 0, false
	for n := range t.slots {
		s := &t.slots[n]
		if s.issued != 0 && now.Sub(s.issued) >= callTimeout {
			s.issued = now
			effects = append(effects, proxy.Fetch{Key: t.key(n)})
		}
		busy = busy || s.issued != 0
		if s.mine && s.left == 0 {
			held++
		}
		if s.mine && s.issued == 0 {
			effects = append(effects, t.keepSlot(now, n)...)
		}
	}
	quota := t.quota()
	switch {
	case held > quota:
		t.leaveSlot(now, held-quota)
	case held < quota && !busy && t.complete:
		effects = append(effects, t.claimSlot(now, random)...)
	}
	return effects
}

// quota is the number of slots for each live host.
func (t *Table) quota() int {
	if t.leaving {
		return 0
	}
	hosts := len(t.live) + 1
	return (t.Slots + hosts - 1) / hosts
}

// keepSlot renews a slot, or frees one whose grants have all ended.
func (t *Table) keepSlot(now proxy.Instant, n int) []proxy.Effect {
	s := &t.slots[n]
	switch {
	case s.left != 0 && now.Sub(s.left) > proxy.GranterTime(t.Valid):
		return t.write(now, n, claim{Slots: t.Slots})
	case s.renewed == 0 || now.Sub(s.renewed) >= t.Renew:
		return t.write(now, n, t.claim())
	}
	return nil
}

func (t *Table) claim() claim {
	return claim{Host: t.Self.ID, Incarnation: t.Self.Incarnation, Slots: t.Slots}
}

// leaveSlot stops using slots that are to be freed.
func (t *Table) leaveSlot(now proxy.Instant, count int) {
	for n := len(t.slots) - 1; n >= 0 && count > 0; n-- {
		s := &t.slots[n]
		if !s.mine || s.left != 0 {
			continue
		}
		s.left = now
		t.hold(now, n)
		count--
	}
}

// claimSlot takes a free slot, or one whose holder has not renewed its lease
// for so long that it has stopped using it.
func (t *Table) claimSlot(now proxy.Instant, random uint64) []proxy.Effect {
	for i := range t.slots {
		n := (int(random%uint64(t.Slots)) + i) % t.Slots
		s := &t.slots[n]
		if s.mine || !s.known && s.version != 0 {
			continue
		}
		expired := s.known && now.Sub(s.seen) > proxy.GranterTime(t.Lease)
		if s.version == 0 || s.claim.Host == "" || expired {
			return t.write(now, n, t.claim())
		}
	}
	return nil
}

func (t *Table) write(now proxy.Instant, n int, c claim) []proxy.Effect {
	s := &t.slots[n]
	value, err := json.Marshal(c)
	if err != nil {
		return []proxy.Effect{Violation{Text: fmt.Sprintf("encode the claim of slot %d: %v", n, err)}}
	}
	s.issued = now
	s.put = c
	return []proxy.Effect{proxy.Put{Key: t.key(n), Value: value, Expected: s.version}}
}

// written takes the result of a claim. A result that is not known is resolved
// by reading the object; the lease counts from a write that is known only.
func (t *Table) written(now proxy.Instant, e proxy.Written) []proxy.Effect {
	n, ok := t.slotOf(e.Key)
	if !ok {
		return nil
	}
	s := &t.slots[n]
	if s.issued == 0 || e.Sent < s.issued {
		return nil
	}
	if e.Err != nil {
		s.issued = now
		return []proxy.Effect{proxy.Fetch{Key: e.Key}}
	}
	s.issued = 0
	s.claim, s.version, s.known, s.seen = s.put, e.Version, true, now
	s.mine = s.put == t.claim()
	if !s.mine {
		s.left, s.renewed, s.until = 0, 0, 0
		t.hold(now, n)
		return nil
	}
	s.renewed = e.Sent
	s.until = e.Sent.Add(proxy.HolderTime(t.Lease))
	t.hold(now, n)
	return nil
}

// fetched takes a slot's object.
func (t *Table) fetched(now proxy.Instant, e proxy.Fetched) []proxy.Effect {
	n, ok := t.slotOf(e.Object.Key)
	if !ok {
		return nil
	}
	s := &t.slots[n]
	if errors.Is(e.Err, proxy.ErrNotFound) {
		s.issued = 0
		return nil
	}
	if e.Err != nil {
		return nil
	}
	if e.Sent >= s.issued {
		s.issued = 0
	}
	return t.read(now, n, e.Object)
}

func (t *Table) read(now proxy.Instant, n int, object proxy.Object) []proxy.Effect {
	s := &t.slots[n]
	if object.Version <= s.version {
		return nil
	}
	var c claim
	if err := json.Unmarshal(object.Value, &c); err != nil {
		return []proxy.Effect{Violation{Text: fmt.Sprintf("decode the claim of slot %d: %v", n, err)}}
	}
	if c.Slots != t.Slots {
		t.complete = false
		return []proxy.Effect{Violation{Text: fmt.Sprintf("slot %d is one of %d, this host is set to %d", n, c.Slots, t.Slots)}}
	}
	s.claim, s.version, s.known, s.seen = c, object.Version, true, now
	if c == t.claim() {
		// An own write whose answer was lost. Its lease cannot be counted, so
		// the next tick renews it.
		s.mine = true
		s.renewed = 0
		return nil
	}
	if s.mine {
		s.mine = false
		s.left, s.renewed, s.until = 0, 0, 0
		t.hold(now, n)
	}
	return nil
}

func (t *Table) list(now proxy.Instant, e proxy.Listed) []proxy.Effect {
	if e.Err != nil || e.Prefix != t.Prefix {
		return nil
	}
	t.complete = true
	var effects []proxy.Effect
	for _, object := range e.Objects {
		if n, ok := t.slotOf(object.Key); ok {
			effects = append(effects, t.read(now, n, object)...)
		}
	}
	return effects
}
