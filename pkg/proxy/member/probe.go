package member

import (
	"maps"
	"slices"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// tick requests the platform's list, starts probes, has unanswered ones relayed
// and ends suspicions that were not refuted in time.
func (t *Table) tick(now proxy.Instant, random uint64) []proxy.Effect {
	var effects []proxy.Effect
	if t.listedAt == 0 || now.Sub(t.listedAt) >= t.RefreshInterval {
		t.listedAt = now
		effects = append(effects, proxy.List{Prefix: t.Prefix})
	}
	effects = append(effects, t.checkProbes(now, random)...)
	if t.pingedAt == 0 || now.Sub(t.pingedAt) >= t.ProbePeriod {
		t.pingedAt = now
		effects = append(effects, t.ping(now, random)...)
	}
	if t.expire(now) {
		effects = append(effects, t.changed())
	}
	return effects
}

// ping probes the next host of the probe order. It also probes failed hosts that
// are on the platform's list, so that the two sides of a healed partition find
// each other.
func (t *Table) ping(now proxy.Instant, random uint64) []proxy.Effect {
	for range t.probeOrder {
		t.nextProbe = (t.nextProbe + 1) % len(t.probeOrder)
		if t.nextProbe == 0 {
			// A random start of each pass keeps hosts that started together
			// from probing the same peer at the same time.
			t.nextProbe = int(random % uint64(len(t.probeOrder)))
		}
		e := t.entries[t.probeOrder[t.nextProbe]]
		if e.status == Failed && !e.listed {
			continue
		}
		nonce := random | 1
		t.probes[nonce] = probe{target: e.state.ID, sentAt: now}
		return []proxy.Effect{proxy.Send{To: e.state.ID, Message: t.newPing(nonce, e.state.ID)}}
	}
	return nil
}

// newPing returns a ping for a host. If the table holds that host as suspected or
// failed, the ping contains this status, since only the host itself can refute it.
func (t *Table) newPing(nonce uint64, to proxy.HostID) *Ping {
	updates := t.updates()
	if e, ok := t.entries[to]; ok && e.status != Alive {
		updates = append(updates[:min(len(updates), maxUpdates-1)], Update{State: e.state, Status: e.status, Sequence: e.sequence})
	}
	return &Ping{Nonce: nonce, From: t.Self, Sequence: t.sequence, Updates: updates}
}

// checkProbes asks other hosts to ping a host that has not answered within
// ProbeTimeout, and suspects it if ProbePeriod later there is still no answer.
func (t *Table) checkProbes(now proxy.Instant, random uint64) []proxy.Effect {
	var effects []proxy.Effect
	suspected := false
	for _, nonce := range slices.Sorted(maps.Keys(t.probes)) {
		p := t.probes[nonce]
		waited := now.Sub(p.sentAt)
		if waited >= t.ProbeTimeout && !p.relayed {
			p.relayed = true
			t.probes[nonce] = p
			effects = append(effects, t.requestRelays(nonce, p.target, random)...)
		}
		if waited >= t.ProbeTimeout+t.ProbePeriod {
			delete(t.probes, nonce)
			suspected = t.suspect(now, p.target) || suspected
		}
	}
	for nonce, r := range t.relays {
		if now.Sub(r.sentAt) >= t.ProbeTimeout+t.ProbePeriod {
			delete(t.relays, nonce)
		}
	}
	return effects
}

func (t *Table) requestRelays(nonce uint64, target proxy.HostID, random uint64) []proxy.Effect {
	var effects []proxy.Effect
	for i := range t.probeOrder {
		id := t.probeOrder[(int(random%uint64(len(t.probeOrder)))+i)%len(t.probeOrder)]
		if id == target || t.entries[id].status != Alive {
			continue
		}
		effects = append(effects, proxy.Send{To: id, Message: &Relay{Nonce: nonce, Target: target}})
		if len(effects) == relayFanout {
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
	return t.apply(now, Update{State: e.state, Status: Suspect, Sequence: e.sequence})
}

// expire marks hosts as failed whose suspicion was not refuted in time. It removes
// hosts that failed long ago, unless the platform still lists them. It reports
// whether a host became failed.
func (t *Table) expire(now proxy.Instant) bool {
	changed := false
	for _, id := range slices.Clone(t.probeOrder) {
		e := t.entries[id]
		age := now.Sub(e.statusSince)
		if e.status == Suspect && age >= t.SuspicionTimeout {
			changed = t.apply(now, Update{State: e.state, Status: Failed, Sequence: e.sequence}) || changed
		}
		if e.status == Failed && age >= failedRetention && !e.listed {
			t.forget(id)
		}
	}
	return changed
}

func (t *Table) forget(id proxy.HostID) {
	delete(t.entries, id)
	for i, other := range t.probeOrder {
		if other == id {
			t.probeOrder = append(t.probeOrder[:i], t.probeOrder[i+1:]...)
			break
		}
	}
}

// receive handles the messages of other hosts.
func (t *Table) receive(now proxy.Instant, e proxy.Received) []proxy.Effect {
	switch m := e.Message.(type) {
	case *Ping:
		changed := t.merge(now, m.From, m.Sequence, m.Updates)
		ack := &Ack{Nonce: m.Nonce, From: t.Self, Sequence: t.sequence, Updates: t.updates()}
		return t.appendChanged(changed, proxy.Send{To: m.From.ID, Message: ack})
	case *Ack:
		return t.handleAck(now, m)
	case *Relay:
		nonce := m.Nonce ^ uint64(now)
		t.relays[nonce] = relayedPing{requester: e.From, nonce: m.Nonce, sentAt: now}
		return []proxy.Effect{proxy.Send{To: m.Target, Message: t.newPing(nonce, m.Target)}}
	}
	return nil
}

func (t *Table) appendChanged(changed bool, effects ...proxy.Effect) []proxy.Effect {
	if changed {
		effects = append(effects, t.changed())
	}
	return effects
}

func (t *Table) handleAck(now proxy.Instant, m *Ack) []proxy.Effect {
	changed := t.merge(now, m.From, m.Sequence, m.Updates)
	delete(t.probes, m.Nonce)
	r, relayed := t.relays[m.Nonce]
	if !relayed {
		return t.appendChanged(changed)
	}
	delete(t.relays, m.Nonce)
	// The answer is forwarded without updates: the requester needs only the
	// target's state and sequence number.
	forwarded := &Ack{Nonce: r.nonce, From: m.From, Sequence: m.Sequence}
	return t.appendChanged(changed, proxy.Send{To: r.requester, Message: forwarded})
}

// merge applies a message's updates and the fact that its sender is alive, and
// reports whether the set of live hosts may have changed.
func (t *Table) merge(now proxy.Instant, from proxy.HostState, sequence uint64, updates []Update) bool {
	changed := false
	if from.ID != t.Self.ID {
		changed = t.apply(now, Update{State: from, Status: Alive, Sequence: sequence})
	}
	for _, u := range updates {
		changed = t.apply(now, u) || changed
	}
	return changed
}
