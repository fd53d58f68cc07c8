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

// In each zone, one host reads from the store and relays the objects to the others,
// since calls to the store are limited and billed. A relay passes on the age of its
// confirmation, so that its followers never take the confirmation for newer than it
// is.
const (
	// relayWait is how long a relay may hold a request until there is a change or a
	// newer confirmation. It exceeds confirmationWait, the wait of the watches that
	// bring confirmations.
	relayWait = 1800 * time.Millisecond
	// relayTimeoutMargin is added to relayWait and the batch delay for the timeout of
	// a request to a relay.
	relayTimeoutMargin = 250 * time.Millisecond
	// relayAgeMargin is how much older than two watch waits a relayed confirmation
	// may be. Until a watch returns, the confirmation of the previous one reaches the
	// age of two waits.
	relayAgeMargin = 800 * time.Millisecond
	// maxUnconfirmedAge is the maximum age of state that no decision depends on.
	// Older state is read again.
	maxUnconfirmedAge = 15 * time.Second
	// maxHops limits the number of relays behind the followed relay: one, of another
	// zone. More hops could mean that hosts follow each other in a cycle and none of
	// them reads from the store.
	maxHops = 1
	// crossZoneTime is how long a host that cannot reach the store follows relays in
	// other zones before it tries the store again.
	crossZoneTime = 1500 * time.Millisecond
	// relayExclusionTime is how long a relay is not followed after it has failed.
	relayExclusionTime = 4 * time.Second
	// maxRelayResponse limits the size of a relay's response, in bytes.
	maxRelayResponse = 16 << 20
	relayPath        = "/relay"
	// relayQuerySoon is the field of a query that asks for an answer soon, also if the relay
	// has no state.
	relayQuerySoon = "soon"
	// relayQueryEra is the field of a query with the era of the version that the follower has.
	relayQueryEra = "era"
)

// selectRelay returns the relay to follow: of the zone's hosts that have not failed
// recently, the one with the widest link, and of several the first by name. It
// returns false if that is this host itself, which then reads from the store. While
// the store does not answer it, such a host sets crossZone and gets a host of another
// zone, preferably the one that it followed last.
func (h *Host) selectRelay(crossZone bool, current proxy.HostID) (peering.Peer, bool) {
	now := h.Clock.Now()
	cs := h.clusterState
	cs.mu.Lock()
	defer cs.mu.Unlock()
	first, link := h.Settings.Host, h.Settings.Link
	for id, m := range cs.members {
		wider := m.entry.Link > link || m.entry.Link == link && id < first
		if wider && m.entry.Zone == h.Settings.Zone && now >= h.excludedRelays[id] {
			first, link = id, m.entry.Link
		}
	}
	if first != h.Settings.Host {
		return cs.members[first].peer(first)
	}
	if !crossZone {
		return peering.Peer{}, false
	}
	if m := cs.members[current]; m != nil && now >= h.excludedRelays[current] {
		return m.peer(current)
	}
	for id, m := range cs.members {
		// The iteration order of a map is random, which spreads the load of this
		// fallback.
		if m.entry.Zone != h.Settings.Zone && now >= h.excludedRelays[id] {
			return m.peer(id)
		}
	}
	return peering.Peer{}, false
}

// excludeRelay stops following a relay for relayExclusionTime.
func (h *Host) excludeRelay(id proxy.HostID, err error) {
	h.clusterState.mu.Lock()
	h.excludedRelays[id] = h.Clock.Now().Add(relayExclusionTime)
	h.clusterState.mu.Unlock()
	h.Log.Info().Err(err).Str("relay", string(id)).Msg("relay lost")
}

// relayUsable reports whether a relay may be followed. A relay that has failed before is
// first asked whether it is running: while a host waits for a relay that has gone, its
// confirmations grow old.
func (h *Host) relayUsable(ctx context.Context, relay peering.Peer) bool {
	h.clusterState.mu.Lock()
	failed := h.excludedRelays[relay.Host] != 0
	h.clusterState.mu.Unlock()
	if !failed {
		return true
	}
	if len(h.peerEndpoint.QueryStates(ctx, []peering.Peer{relay}, nil, voteTimeout)) == 0 {
		h.clusterState.mu.Lock()
		h.excludedRelays[relay.Host] = h.Clock.Now().Add(relayExclusionTime)
		h.clusterState.mu.Unlock()
		return false
	}
	h.clusterState.mu.Lock()
	delete(h.excludedRelays, relay.Host)
	h.clusterState.mu.Unlock()
	h.Log.Info().Str("relay", string(relay.Host)).Msg("relay regained")
	return true
}

// fetchFromRelay requests the changes after a version from a relay. The relay must begin to
// answer in beginTimeout, and the whole response must arrive in timeout.
func (h *Host) fetchFromRelay(
	ctx context.Context, relay peering.Peer, query url.Values, beginTimeout, timeout time.Duration,
) (RelayResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	silent := time.AfterFunc(beginTimeout, cancel)
	defer silent.Stop()
	target := url.URL{Scheme: "http", Host: relay.Address.String(), Path: relayPath, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return RelayResponse{}, fmt.Errorf("build relay request: %w", err)
	}
	response, err := h.relayClient.Do(request)
	if err != nil {
		return RelayResponse{}, fmt.Errorf("call relay: %w", err)
	}
	silent.Stop()
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return RelayResponse{}, eris.Errorf("relay answered with status %d", response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxRelayResponse))
	if err != nil {
		return RelayResponse{}, fmt.Errorf("read relay response: %w", err)
	}
	return DecodeRelayResponse(data)
}

// serveRelay serves the followers of this host until the returned function is called.
func (h *Host) serveRelay(ctx context.Context) (func(), error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+relayPath, endOnPanic(h.handleRelayRequest))
	return h.serve(ctx, h.Settings.Peer.String(), mux, h.relayRoom)
}

// handleRelayRequest answers a follower's request for changes of a kind.
func (h *Host) handleRelayRequest(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	m := h.mirrors[proxy.Kind(query.Get("kind"))]
	followerVersion, ok := parseFollowerVersion(query)
	if m == nil || !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait := relayWait
	if query.Get(relayQuerySoon) != "" {
		wait = firstRelayWait
	}
	answer, ok := m.awaitChanges(h.Clock, followerVersion, wait)
	if !ok || h.stopping.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	release, ok := h.reserveResponse(r, responseSize(answer))
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer release()
	data, err := cbor.Marshal(answer)
	if err != nil {
		h.Log.Error().Err(err).Msg("response to a follower was not encoded")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// A follower that gets no response tries again or uses another source.
	_, _ = w.Write(data)
}

// parseFollowerVersion returns the version that a follower has. The era is left out if the store
// reports none.
func parseFollowerVersion(query url.Values) (proxy.StoreVersion, bool) {
	version, err := strconv.ParseUint(query.Get("known"), 10, 64)
	if err != nil {
		return proxy.StoreVersion{}, false
	}
	era := uint64(0)
	if text := query.Get(relayQueryEra); text != "" {
		era, err = strconv.ParseUint(text, 10, 64)
	}
	return proxy.StoreVersion{Era: proxy.Era(era), Version: proxy.Version(version)}, err == nil
}
