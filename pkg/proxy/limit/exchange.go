package limit

import (
	"slices"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// pending is a request to a peer that has not been answered.
type pending struct {
	number uint64
	sentAt proxy.Instant
}

// requestBatch collects the requested shares by peer, so that each peer gets one message.
type requestBatch struct {
	// order holds the peers in the order in which they were added.
	order  []proxy.HostID
	shares map[proxy.HostID][]AccountShare
}

func (b *requestBatch) add(to proxy.HostID, request AccountShare) {
	if _, ok := b.shares[to]; !ok {
		b.order = append(b.order, to)
	}
	b.shares[to] = append(b.shares[to], request)
}

// requestShares requests missing shares and tokens from the hosts that hold slots of the
// accounts.
func (t *Table) requestShares(now proxy.Instant, random uint64) []proxy.Effect {
	batch := requestBatch{shares: make(map[proxy.HostID][]AccountShare)}
	tokensAllowed := now.Sub(t.tokensRequestedAt) >= tokenRequestInterval
	for _, b := range t.order {
		b.mu.Lock()
		b.advance(now)
		b.demand.measure(now, b.accountLimit)
		if b.demand.active() {
			t.addRequests(now, b, random, tokensAllowed, &batch)
		}
		b.mu.Unlock()
	}
	if tokensAllowed && len(batch.order) > 0 {
		t.tokensRequestedAt = now
	}
	effects := make([]proxy.Effect, 0, len(batch.order))
	for _, to := range batch.order {
		t.number++
		t.pending[to] = pending{number: t.number, sentAt: now}
		effects = append(effects, proxy.Send{To: to, Message: &ShareRequest{
			Incarnation: t.Self.Incarnation, Number: t.number, Requested: batch.shares[to],
		}})
	}
	return effects
}

// addRequests adds the requests for one account. Shares are requested from all donors in
// a round, tokens without a share from one randomly chosen donor at a time.
func (t *Table) addRequests(now proxy.Instant, b *bucket, random uint64, tokensAllowed bool, batch *requestBatch) {
	inRound := b.roundDue(now, t.GrantDuration-grantRenewMargin)
	tokens, urgent := b.tokenShortfall()
	needsTokens := tokens > 0 && (urgent || tokensAllowed)
	if !inRound && !needsTokens {
		return
	}
	donors := t.donors(b.account)
	missing := b.demand.neededShare(b.accountLimit).rate - b.usable.rate
	tokenDonor := int(random % uint64(max(1, len(donors))))
	for i, donor := range donors {
		chosen := needsTokens && i == tokenDonor
		if p, waiting := t.pending[donor]; waiting && now.Sub(p.sentAt) < requestTimeout || !inRound && !chosen {
			continue
		}
		request := b.nextRequest(now, donor, &missing, b.accountLimit.rate/int64(len(donors)+1))
		if inRound && request.Rate > 0 {
			b.round = now
			b.roundNeed = b.demand.neededShare(b.accountLimit)
		}
		if chosen {
			request.Tokens, request.Level = tokens, b.level
		}
		if request.Rate > 0 || request.Tokens > 0 {
			batch.add(donor, request)
		}
	}
}

// donors returns the live hosts that hold slots of an account, ordered by ID from this
// host's ID on. A host thus requests shares of all its accounts from the same peers
// first, and different hosts begin with different peers. A host that has never read the
// slots requests shares from any live hosts.
func (t *Table) donors(account proxy.AccountID) []proxy.HostID {
	var hosts []proxy.HostID
	first, spread := t.spread(account)
	for i := range spread {
		s := &t.slots[(first+i)%t.Slots]
		if _, live := t.live[s.claim.Host]; live && !slices.Contains(hosts, s.claim.Host) {
			hosts = append(hosts, s.claim.Host)
		}
	}
	if len(hosts) == 0 && !t.slotsListed {
		return t.fallbackDonors
	}
	slices.Sort(hosts)
	next, _ := slices.BinarySearch(hosts, t.Self.ID)
	return append(hosts[next:], hosts[:next]...)
}

// handleMessage answers a request of a peer or accepts a grant.
func (t *Table) handleMessage(now proxy.Instant, e proxy.Received) []proxy.Effect {
	switch m := e.Message.(type) {
	case *ShareRequest:
		return t.answerRequest(now, e.From, m)
	case *ShareGrant:
		t.accept(now, e.From, m)
	}
	return nil
}

// answerRequest transfers the requested shares to a peer.
func (t *Table) answerRequest(now proxy.Instant, from proxy.HostID, m *ShareRequest) []proxy.Effect {
	to := peer{from, m.Incarnation}
	if last, ok := t.lastAnswered[to]; ok && m.Number <= last {
		// Answering a duplicate would remove tokens that the requesting host does not
		// accept.
		return nil
	}
	t.lastAnswered[to] = m.Number
	grant := &ShareGrant{Incarnation: m.Incarnation, Number: m.Number, GrantDuration: t.GrantDuration}
	buckets := *t.buckets.Load()
	for _, request := range m.Requested {
		b, ok := buckets[request.Account]
		if !ok {
			continue
		}
		b.mu.Lock()
		grant.Granted = append(grant.Granted, b.transferShare(now, to, request, t.GrantDuration, grantAcceptTime))
		b.mu.Unlock()
	}
	return []proxy.Effect{proxy.Send{To: from, Message: grant}}
}

// accept applies a grant that answers the latest request to the peer. Any other grant
// is late or a duplicate, or answers an earlier incarnation of this host.
func (t *Table) accept(now proxy.Instant, from proxy.HostID, m *ShareGrant) {
	p, ok := t.pending[from]
	if !ok || m.Incarnation != t.Self.Incarnation || m.Number != p.number {
		return
	}
	delete(t.pending, from)
	buckets := *t.buckets.Load()
	for _, granted := range m.Granted {
		b, ok := buckets[granted.Account]
		if !ok {
			continue
		}
		b.mu.Lock()
		b.accept(now, p.sentAt, from, granted, m.GrantDuration, grantAcceptTime)
		b.mu.Unlock()
	}
}
