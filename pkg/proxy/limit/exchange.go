package limit

import (
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// pending is a request to a peer that has not been answered.
type pending struct {
	number uint64
	sent   proxy.Instant
}

// batch collects what is asked of each peer, so that a peer gets one message.
type batch struct {
	order []proxy.HostID
	wants map[proxy.HostID][]Want
}

func (b *batch) add(to proxy.HostID, w Want) {
	if _, ok := b.wants[to]; !ok {
		b.order = append(b.order, to)
	}
	b.wants[to] = append(b.wants[to], w)
}

// tickExchange asks the holders of the accounts' slots for what this host lacks.
func (t *Table) tickExchange(now proxy.Instant, random uint64) []proxy.Effect {
	asks := batch{wants: make(map[proxy.HostID][]Want)}
	round := t.Valid - renewBefore
	for _, b := range t.order {
		b.mu.Lock()
		b.advance(now)
		b.demand.measure(now, b.whole)
		t.round = t.round || b.demand.active() && b.due(now, round)
		b.mu.Unlock()
	}
	for _, b := range t.order {
		b.mu.Lock()
		if b.demand.active() {
			t.askFor(now, b, random, &asks)
		}
		b.mu.Unlock()
	}
	t.round = false
	effects := make([]proxy.Effect, 0, len(asks.order))
	for _, to := range asks.order {
		t.number++
		t.pending[to] = pending{number: t.number, sent: now}
		effects = append(effects, proxy.Send{To: to, Message: &Ask{
			Incarnation: t.Self.Incarnation, Number: t.number, Wants: asks.wants[to],
		}})
	}
	return effects
}

// askFor adds what one account lacks. In a round of any account the others
// whose round is near join, which keeps their requests in the same messages.
func (t *Table) askFor(now proxy.Instant, b *bucket, random uint64, asks *batch) {
	round := t.Valid - renewBefore
	joins := b.due(now, round) || t.round && b.due(now, round/2)
	tokens := b.lackOfTokens()
	begs := tokens > 0 && now.Sub(b.begged) >= begAgain
	if !joins && !begs {
		return
	}
	givers := t.givers(b.account)
	if len(givers) == 0 {
		return
	}
	if begs {
		b.begged = now
	}
	if joins {
		b.round = now
		b.asked = b.demand.need(b.whole)
	}
	first := int(random % uint64(len(givers)))
	for i := range givers {
		giver := givers[(first+i)%len(givers)]
		asked := begs && i < begPeers
		if p, waiting := t.pending[giver]; waiting && now.Sub(p.sent) < askAgain || !joins && !asked {
			continue
		}
		w := b.want(giver, len(givers))
		if asked {
			w.Tokens = tokens
		}
		if w.Rate > 0 || w.Burst > 0 || w.Tokens > 0 {
			asks.add(giver, w)
		}
	}
}

// givers returns the live hosts that hold slots of an account. A host that has
// never read the slots asks the first live hosts.
func (t *Table) givers(account proxy.AccountID) []proxy.HostID {
	var hosts []proxy.HostID
	first, spread := t.spread(account)
	for i := range spread {
		s := &t.slots[(first+i)%t.Slots]
		if _, live := t.live[s.claim.Host]; live && !contains(hosts, s.claim.Host) {
			hosts = append(hosts, s.claim.Host)
		}
	}
	if len(hosts) == 0 && !t.complete {
		return t.some
	}
	return hosts
}

func contains(hosts []proxy.HostID, host proxy.HostID) bool {
	for _, h := range hosts {
		if h == host {
			return true
		}
	}
	return false
}

// receive answers a request, or takes the answer to one.
func (t *Table) receive(now proxy.Instant, e proxy.Received) []proxy.Effect {
	switch m := e.Message.(type) {
	case *Ask:
		return t.answer(now, e.From, m)
	case *Grant:
		t.accept(now, e.From, m)
	}
	return nil
}

func (t *Table) answer(now proxy.Instant, from proxy.HostID, m *Ask) []proxy.Effect {
	to := peer{from, m.Incarnation}
	if last, ok := t.answered[to]; ok && m.Number <= last {
		// A duplicate would take tokens that the asking host does not accept.
		return nil
	}
	t.answered[to] = m.Number
	grant := &Grant{Incarnation: m.Incarnation, Number: m.Number, Valid: t.Valid}
	buckets := *t.buckets.Load()
	for _, w := range m.Wants {
		b, ok := buckets[w.Account]
		if !ok {
			continue
		}
		b.mu.Lock()
		grant.Parts = append(grant.Parts, b.cede(now, to, w, t.Valid, acceptTime))
		b.mu.Unlock()
	}
	return []proxy.Effect{proxy.Send{To: from, Message: grant}}
}

// accept takes the answer to the latest request to the peer. Every other answer
// is late or a duplicate, or belongs to an earlier incarnation of this host.
func (t *Table) accept(now proxy.Instant, from proxy.HostID, m *Grant) {
	p, ok := t.pending[from]
	if !ok || m.Incarnation != t.Self.Incarnation || m.Number != p.number {
		return
	}
	delete(t.pending, from)
	buckets := *t.buckets.Load()
	for _, gets := range m.Parts {
		b, ok := buckets[gets.Account]
		if !ok {
			continue
		}
		b.mu.Lock()
		b.accept(now, p.sent, from, gets, m.Valid, acceptTime)
		b.mu.Unlock()
	}
}
