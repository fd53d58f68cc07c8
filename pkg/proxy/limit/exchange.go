package limit

import (
	"slices"

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
	mayBeg := now.Sub(t.begged) >= tokensAgain
	for _, b := range t.order {
		b.mu.Lock()
		b.advance(now)
		b.demand.measure(now, b.whole)
		if b.demand.active() {
			t.askFor(now, b, random, mayBeg, &asks)
		}
		b.mu.Unlock()
	}
	if mayBeg && len(asks.order) > 0 {
		t.begged = now
	}
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

// askFor adds what one account lacks. Parts are asked of all givers in a round,
// tokens alone of one peer at a time.
func (t *Table) askFor(now proxy.Instant, b *bucket, random uint64, mayBeg bool, asks *batch) {
	joins := b.due(now, t.Valid-renewBefore)
	tokens, urgent := b.lackOfTokens()
	begging := tokens > 0 && (urgent || mayBeg)
	if !joins && !begging {
		return
	}
	givers := t.givers(b.account)
	lack := b.demand.need(b.whole).rate - b.used.rate
	begged := int(random % uint64(max(1, len(givers))))
	for i, giver := range givers {
		chosen := begging && i == begged
		if p, waiting := t.pending[giver]; waiting && now.Sub(p.sent) < requestTimeout || !joins && !chosen {
			continue
		}
		w := b.want(now, giver, &lack, b.whole.rate/int64(len(givers)+1))
		if joins && w.Rate > 0 {
			b.round = now
			b.asked = b.demand.need(b.whole)
		}
		if chosen {
			w.Tokens, w.Level = tokens, b.level
		}
		if w.Rate > 0 || w.Tokens > 0 {
			asks.add(giver, w)
		}
	}
}

// givers returns the live hosts that hold slots of an account, beginning after
// this host, so that its accounts ask the same peers first and different hosts
// ask different ones. A host that has never read the slots asks any live hosts.
func (t *Table) givers(account proxy.AccountID) []proxy.HostID {
	var hosts []proxy.HostID
	first, spread := t.spread(account)
	for i := range spread {
		s := &t.slots[(first+i)%t.Slots]
		if _, live := t.live[s.claim.Host]; live && !slices.Contains(hosts, s.claim.Host) {
			hosts = append(hosts, s.claim.Host)
		}
	}
	if len(hosts) == 0 && !t.complete {
		return t.some
	}
	slices.Sort(hosts)
	next, _ := slices.BinarySearch(hosts, t.Self.ID)
	return append(hosts[next:], hosts[:next]...)
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
