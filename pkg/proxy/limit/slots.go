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
	// Slots is the total number of slots, which must be the same on all hosts.
	Slots int `json:"slots"`
}

// slot is the state of one slot's object as this host knows it.
type slot struct {
	claim   claim
	version proxy.Version
	// known reports whether claim and version have been read or written.
	known bool
	// seenAt is the instant at which this host first saw the version. A holder that
	// renewed its lease since then would have changed the version.
	seenAt proxy.Instant
	// held reports whether this host holds the slot.
	held bool
	// until is the end of the lease and renewedAt the instant of the request that
	// started it.
	until     proxy.Instant
	renewedAt proxy.Instant
	// releasedAt is the instant at which the host stopped using the slot, or zero.
	releasedAt proxy.Instant
	// callSentAt is the instant of the platform call in progress, or zero, and
	// pendingClaim the latest claim that was sent.
	callSentAt   proxy.Instant
	pendingClaim claim
}

func (t *Table) slotKey(n int) proxy.Key { return t.Prefix + proxy.Key(strconv.Itoa(n)) }

func (t *Table) slotNumber(key proxy.Key) (int, bool) {
	text, ok := strings.CutPrefix(string(key), string(t.Prefix))
	n, err := strconv.Atoi(text)
	return n, ok && err == nil && n >= 0 && n < t.Slots
}

// updateSlots reads, renews, claims and releases slots.
func (t *Table) updateSlots(now proxy.Instant, random uint64) []proxy.Effect {
	var effects []proxy.Effect
	if t.listedAt == 0 || now.Sub(t.listedAt) >= t.listInterval() {
		t.listedAt = now
		effects = append(effects, proxy.List{Prefix: t.Prefix})
	}
	heldCount, callPending := 0, false
	for n := range t.slots {
		s := &t.slots[n]
		if s.callSentAt != 0 && now.Sub(s.callSentAt) >= callTimeout {
			s.callSentAt = now
			effects = append(effects, proxy.Fetch{Key: t.slotKey(n)})
		}
		callPending = callPending || s.callSentAt != 0
		if s.held && s.releasedAt == 0 {
			heldCount++
		}
		if s.held && s.callSentAt == 0 {
			effects = append(effects, t.renewOrFreeSlot(now, n)...)
		}
	}
	quota := t.quota()
	switch {
	case heldCount > quota:
		t.releaseSlots(now, heldCount-quota)
	case heldCount < quota && !callPending && t.slotsListed:
		effects = append(effects, t.claimSlot(now, random)...)
	}
	return effects
}

// quota returns the number of slots that each live host should hold.
func (t *Table) quota() int {
	if t.leaving {
		return 0
	}
	hosts := len(t.live) + 1
	return (t.Slots + hosts - 1) / hosts
}

// renewOrFreeSlot renews the lease of a slot, or frees a released slot after all grants of
// its share have expired.
func (t *Table) renewOrFreeSlot(now proxy.Instant, n int) []proxy.Effect {
	s := &t.slots[n]
	switch {
	case s.releasedAt != 0 && now.Sub(s.releasedAt) > proxy.GranterTime(t.GrantDuration):
		return t.putClaim(now, n, claim{Slots: t.Slots})
	case s.renewedAt == 0 || now.Sub(s.renewedAt) >= t.RenewInterval:
		return t.putClaim(now, n, t.claim())
	}
	return nil
}

// claim returns this host's claim of a slot.
func (t *Table) claim() claim {
	return claim{Host: t.Self.ID, Incarnation: t.Self.Incarnation, Slots: t.Slots}
}

// releaseSlots stops using some slots, which are freed later.
func (t *Table) releaseSlots(now proxy.Instant, count int) {
	for n := len(t.slots) - 1; n >= 0 && count > 0; n-- {
		s := &t.slots[n]
		if !s.held || s.releasedAt != 0 {
			continue
		}
		s.releasedAt = now
		t.setLease(now, n)
		count--
	}
}

// claimSlot claims a free slot, or a slot whose holder has not renewed its lease for so
// long that it must have stopped using the slot.
func (t *Table) claimSlot(now proxy.Instant, random uint64) []proxy.Effect {
	for i := range t.slots {
		n := (int(random%uint64(t.Slots)) + i) % t.Slots
		s := &t.slots[n]
		if s.held || !s.known && s.version != 0 {
			continue
		}
		expired := s.known && now.Sub(s.seenAt) > proxy.GranterTime(t.LeaseDuration)
		if s.version == 0 || s.claim.Host == "" || expired {
			return t.putClaim(now, n, t.claim())
		}
	}
	return nil
}

// putClaim writes a claim to the slot's object if its version is still the known one.
func (t *Table) putClaim(now proxy.Instant, n int, c claim) []proxy.Effect {
	s := &t.slots[n]
	value, err := json.Marshal(c)
	if err != nil {
		return []proxy.Effect{Violation{Text: fmt.Sprintf("encode the claim of slot %d: %v", n, err)}}
	}
	s.callSentAt = now
	s.pendingClaim = c
	return []proxy.Effect{proxy.Put{Key: t.slotKey(n), Value: value, Expected: s.version}}
}

// handleWritten processes the result of putClaim. After an error the host reads the
// object, since the write may have succeeded. A lease counts only from a write that was
// acknowledged.
func (t *Table) handleWritten(now proxy.Instant, e proxy.Written) []proxy.Effect {
	n, ok := t.slotNumber(e.Key)
	if !ok {
		return nil
	}
	s := &t.slots[n]
	if s.callSentAt == 0 || e.Sent < s.callSentAt {
		return nil
	}
	if e.Err != nil {
		s.callSentAt = now
		return []proxy.Effect{proxy.Fetch{Key: e.Key}}
	}
	s.callSentAt = 0
	s.claim, s.version, s.known, s.seenAt = s.pendingClaim, e.Version, true, now
	s.held = s.pendingClaim == t.claim()
	if !s.held {
		s.releasedAt, s.renewedAt, s.until = 0, 0, 0
		t.setLease(now, n)
		return nil
	}
	s.renewedAt = e.Sent
	s.until = e.Sent.Add(proxy.HolderTime(t.LeaseDuration))
	t.setLease(now, n)
	return nil
}

// handleFetched processes the result of reading a slot's object.
func (t *Table) handleFetched(now proxy.Instant, e proxy.Fetched) []proxy.Effect {
	n, ok := t.slotNumber(e.Object.Key)
	if !ok {
		return nil
	}
	s := &t.slots[n]
	if errors.Is(e.Err, proxy.ErrNotFound) {
		s.callSentAt = 0
		return nil
	}
	if e.Err != nil {
		return nil
	}
	if e.Sent >= s.callSentAt {
		s.callSentAt = 0
	}
	return t.updateClaim(now, n, e.Object)
}

// updateClaim records the claim in a slot's object if its version is newer.
func (t *Table) updateClaim(now proxy.Instant, n int, object proxy.Object) []proxy.Effect {
	s := &t.slots[n]
	if object.Version <= s.version {
		return nil
	}
	var c claim
	if err := json.Unmarshal(object.Value, &c); err != nil {
		return []proxy.Effect{Violation{Text: fmt.Sprintf("decode the claim of slot %d: %v", n, err)}}
	}
	if c.Slots != t.Slots {
		t.slotsListed = false
		return []proxy.Effect{Violation{Text: fmt.Sprintf("slot %d was claimed for %d slots in total, but this host has %d", n, c.Slots, t.Slots)}}
	}
	s.claim, s.version, s.known, s.seenAt = c, object.Version, true, now
	if c == t.claim() {
		// This is the host's own write whose answer was lost. The start of its lease is
		// not known, so the next tick renews it.
		s.held = true
		s.renewedAt = 0
		return nil
	}
	if s.held {
		s.held = false
		s.releasedAt, s.renewedAt, s.until = 0, 0, 0
		t.setLease(now, n)
	}
	return nil
}

// handleListed processes a list of all slots' objects.
func (t *Table) handleListed(now proxy.Instant, e proxy.Listed) []proxy.Effect {
	if e.Err != nil || e.Prefix != t.Prefix {
		return nil
	}
	t.slotsListed = true
	var effects []proxy.Effect
	for _, object := range e.Objects {
		if n, ok := t.slotNumber(object.Key); ok {
			effects = append(effects, t.updateClaim(now, n, object)...)
		}
	}
	return effects
}
