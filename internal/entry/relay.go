package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/internal/peering"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// In each zone one host asks the store and relays to the others, since calls to
// the store are limited and paid for. A relayed proof keeps its age: it is never
// taken for newer than the relay's own.
const (
	// relayWait is how long a relay may wait for a change or a newer proof. It
	// exceeds the wait of the watches that bring proofs.
	relayWait = 1800 * time.Millisecond
	// relaySlack limits a call to a relay beside its waits.
	relaySlack = 250 * time.Millisecond
	// relayAge is how much older than two waits of a watch a relayed proof may be.
	// Until a watch returns, the proof of the one before it gets two waits old.
	relayAge = 800 * time.Millisecond
	// unprovenAge is the age at which a state is read again whose age does not
	// matter otherwise.
	unprovenAge = 15 * time.Second
	// maxHops is the number of relays behind a relay that is followed: one of
	// another zone. More could mean hosts that follow each other, none of which
	// asks the store.
	maxHops = 1
	// detourTime is how long a host without the store follows other zones before
	// it asks the store again.
	detourTime = 1500 * time.Millisecond
	// distrustTime is how long a relay that failed is not followed.
	distrustTime = 4 * time.Second
	// maxRelayed bounds an answer of a relay, in bytes.
	maxRelayed = 16 << 20
	relayPath  = "/relay"
)

// relayFor returns the host to follow: of the zone's hosts that have not failed
// recently, the first in the order of links and names. It returns false for that
// host itself. With detour, which that host asks for while the store does not
// answer it, any host of another zone will do, preferably the one that it follows
// already.
func (h *Host) relayFor(detour bool, current proxy.HostID) (peering.Peer, bool) {
	now := h.Clock.Now()
	b := h.beliefs
	b.mu.Lock()
	defer b.mu.Unlock()
	first, link := h.Settings.Host, h.Settings.Link
	for id, m := range b.members {
		wider := m.report.Link > link || m.report.Link == link && id < first
		if wider && m.report.Zone == h.Settings.Zone && now >= h.distrusted[id] {
			first, link = id, m.report.Link
		}
	}
	if first != h.Settings.Host {
		return b.members[first].peer(first)
	}
	if !detour {
		return peering.Peer{}, false
	}
	if m := b.members[current]; m != nil && now >= h.distrusted[current] {
		return m.peer(current)
	}
	for id, m := range b.members {
		// The order of a map is random, so that the detours are spread.
		if m.report.Zone != h.Settings.Zone && now >= h.distrusted[id] {
			return m.peer(id)
		}
	}
	return peering.Peer{}, false
}

// distrust stops following a relay for a while.
func (h *Host) distrust(id proxy.HostID, err error) {
	h.beliefs.mu.Lock()
	h.distrusted[id] = h.Clock.Now().Add(distrustTime)
	h.beliefs.mu.Unlock()
	h.Log.Info().Err(err).Str("relay", string(id)).Msg("relay lost")
}

// trusted reports whether a relay may be followed. One that has failed is asked
// first whether it lives: to wait for a host that is gone would let the proofs
// of its followers grow old.
func (h *Host) trusted(ctx context.Context, relay peering.Peer) bool {
	h.beliefs.mu.Lock()
	failed := h.distrusted[relay.Host] != 0
	h.beliefs.mu.Unlock()
	if !failed {
		return true
	}
	if len(h.lender.QueryStates(ctx, []peering.Peer{relay}, nil, voteTimeout)) == 0 {
		h.beliefs.mu.Lock()
		h.distrusted[relay.Host] = h.Clock.Now().Add(distrustTime)
		h.beliefs.mu.Unlock()
		return false
	}
	h.beliefs.mu.Lock()
	delete(h.distrusted, relay.Host)
	h.beliefs.mu.Unlock()
	h.Log.Info().Str("relay", string(relay.Host)).Msg("relay regained")
	return true
}

// fetch asks a relay for what has changed.
func (h *Host) fetch(
	ctx context.Context, relay peering.Peer, kind proxy.Kind, known proxy.Version, timeout time.Duration,
) (Relayed, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	query := url.Values{
		"kind":  {string(kind)},
		"known": {strconv.FormatUint(uint64(known), 10)},
	}
	target := url.URL{Scheme: "http", Host: relay.Address.String(), Path: relayPath, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return Relayed{}, fmt.Errorf("build request to relay: %w", err)
	}
	response, err := h.relays.Do(request)
	if err != nil {
		return Relayed{}, fmt.Errorf("call relay: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Relayed{}, eris.Errorf("relay answered with status %d", response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxRelayed))
	if err != nil {
		return Relayed{}, fmt.Errorf("read answer of relay: %w", err)
	}
	var answer Relayed
	if err := cbor.Unmarshal(data, &answer); err != nil {
		return Relayed{}, fmt.Errorf("decode answer of relay: %w", err)
	}
	if err := answer.Validate(); err != nil {
		return Relayed{}, fmt.Errorf("answer of relay: %w", err)
	}
	return answer, nil
}

// serveRelay answers the followers of this host until the returned function is
// called.
func (h *Host) serveRelay(ctx context.Context) (func(), error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+relayPath, h.answerFollower)
	return serve(ctx, h.Settings.Peer.String(), mux)
}

func (h *Host) answerFollower(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	m := h.mirrors[proxy.Kind(query.Get("kind"))]
	known, err := strconv.ParseUint(query.Get("known"), 10, 64)
	if m == nil || err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	answer, ok := m.relay(h.Clock, proxy.Version(known), relayWait)
	if !ok || h.stopping.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	data, err := cbor.Marshal(answer)
	if err != nil {
		h.Log.Error().Err(err).Msg("answer to a follower was not encoded")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// A follower that has gone asks again or asks the store.
	_, _ = w.Write(data)
}
