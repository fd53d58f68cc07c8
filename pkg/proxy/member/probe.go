package member

import (
	"maps"
	"slices"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// tick starts probes, relays silent ones and ends suspicions.
func (t *Table) tick(now proxy.Instant, random uint64) []proxy.Effect {
	var effects []proxy.Effect
	if t.listed == 0 || now.Sub(t.listed) >= t.Refresh {
		t.listed = now
		effects = append(effects, proxy.List{Prefix: t.Prefix})
	}
	effects = append(effects, t.checkProbes(now, random)...)
	if t.pinged == 0 || now.Sub(t.pinged) >= t.Period {
		t.pinged = now
		effects = append(effects, t.ping(now, random)...)
	}
	if t.expire(now) {
		effects = append(effects, t.changed())
	}
	return effects
}

// ping probes the next host in turn. Failed hosts on the platform's list are
// probed too, so that the two sides of a healed partition find each other.
func (t *Table) ping(now proxy.Instant, random uint64) []proxy.Effect {
	for range t.order {
		t.next = (t.next + 1) % len(t.order)
		if t.next == 0 {
			// A random stride would do as well; the offset keeps hosts that
			// started together from probing the same peer in step.
			t.next = int(random % uint64(len(t.order)))
		}
		e := t.entries[t.order[t.next]]
		if e.status == Failed && !e.listed {
			continue
		}
		nonce := random | 1
		t.probes[nonce] = probe{target: e.state.ID, sent: now}
		return []proxy.Effect{proxy.Send{To: e.state.ID, Message: t.newPing(nonce, e.state.ID)}}
	}
	return nil
}

// newPing returns a ping for a host. A host that is not believed alive is told
// so, since only it can refute that.
func (t *Table) newPing(nonce uint64, to proxy.HostID) *Ping {
	updates := t.updates()
	if e, ok := t.entries[to]; ok && e.status != Alive {
		updates = append(updates[:min(len(updates), maxUpdates-1)], Update{State: e.state, Status: e.status, Round: e.round})
	}
	return &Ping{Nonce: nonce, From: t.Self, Round: t.round, Updates: updates}
}

// checkProbes asks others to ping hosts that have not answered in time, and
// suspects those that have not answered within a period either.
func (t *Table) checkProbes(now proxy.Instant, random uint64) []proxy.Effect {
	var effects []proxy.Effect
	suspected := false
	for _, nonce := range slices.Sorted(maps.Keys(t.probes)) {
		p := t.probes[nonce]
		waited := now.Sub(p.sent)
		if waited >= t.Timeout && !p.relayed {
			p.relayed = true
			t.probes[nonce] = p
			effects = append(effects, t.askRelays(nonce, p.target, random)...)
		}
		if waited >= t.Timeout+t.Period {
			delete(t.probes, nonce)
			suspected = t.suspect(now, p.target) || suspected
		}
	}
	for nonce, r := range t.relays {
		if now.Sub(r.sent) >= t.Timeout+t.Period {
			delete(t.relays, nonce)
		}
	}
	return effects
}

func (t *Table) askRelays(nonce uint64, target proxy.HostID, random uint64) []proxy.Effect {
	var effects []proxy.Effect
	for i := range t.order {
		id := t.order[(int(random%uint64(len(t.order)))+i)%len(t.order)]
		if id == target || t.entries[id].status != Alive {
			continue
		}
		effects = append(effects, proxy.Send{To: id, Message: &Relay{Nonce: nonce, Target: target}})
		if len(effects) == relays {
			break
		}
	}
	return effects
}

func (t *Table) suspect(now proxy.Instant, id proxy.HostID) bool {
	e, ok := t.entries[id]
	if !ok || e.status != Alive {
		return false
	}
	return t.apply(now, Update{State: e.state, Status: Suspect, Round: e.round})
}

// expire fails hosts whose suspicion nobody refuted and forgets old failures.
func (t *Table) expire(now proxy.Instant) bool {
	changed := false
	for _, id := range slices.Clone(t.order) {
		e := t.entries[id]
		age := now.Sub(e.since)
		if e.status == Suspect && age >= t.Suspicion {
			changed = t.apply(now, Update{State: e.state, Status: Failed, Round: e.round}) || changed
		}
		if e.status == Failed && age >= forgetAfter && !e.listed {
			t.forget(id)
		}
	}
	return changed
}

func (t *Table) forget(id proxy.HostID) {
	delete(t.entries, id)
	for i, other := range t.order {
		if other == id {
			t.order = append(t.order[:i], t.order[i+1:]...)
			break
		}
	}
}

// receive handles the messages of other hosts.
func (t *Table) receive(now proxy.Instant, e proxy.Received) []proxy.Effect {
	switch m := e.Message.(type) {
	case *Ping:
		changed := t.merge(now, m.From, m.Round, m.Updates)
		ack := &Ack{Nonce: m.Nonce, From: t.Self, Round: t.round, Updates: t.updates()}
		return t.withChange(changed, proxy.Send{To: m.From.ID, Message: ack})
	case *Ack:
		return t.acknowledge(now, m)
	case *Relay:
		nonce := m.Nonce ^ uint64(now)
		t.relays[nonce] = relay{asker: e.From, nonce: m.Nonce, sent: now}
		return []proxy.Effect{proxy.Send{To: m.Target, Message: t.newPing(nonce, m.Target)}}
	}
	return nil
}

func (t *Table) withChange(changed bool, effects ...proxy.Effect) []proxy.Effect {
	if changed {
		effects = append(effects, t.changed())
	}
	return effects
}

func (t *Table) acknowledge(now proxy.Instant, m *Ack) []proxy.Effect {
	changed := t.merge(now, m.From, m.Round, m.Updates)
	delete(t.probes, m.Nonce)
	r, relayed := t.relays[m.Nonce]
	if !relayed {
		return t.withChange(changed)
	}
	delete(t.relays, m.Nonce)
	// The answer is passed on as the target's own, since the asker only needs
	// the answer and the round.
	passed := &Ack{Nonce: r.nonce, From: m.From, Round: m.Round}
	return t.withChange(changed, proxy.Send{To: r.asker, Message: passed})
}

// merge takes what a message proves of its sender and the updates that came with it.
func (t *Table) merge(now proxy.Instant, from proxy.HostState, round uint64, updates []Update) bool {
	changed := false
	if from.ID != t.Self.ID {
		changed = t.apply(now, Update{State: from, Status: Alive, Round: round})
	}
	for _, u := range updates {
		changed = t.apply(now, u) || changed
	}
	return changed
}
