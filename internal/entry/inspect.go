package entry

import (
	"context"
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/internal/timing"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/evacuation"
)

// inspect asks an instance for its replication status.
func (h *Host) inspect(i directory.Instance) (proxy.ReplicationStatus, error) {
	return h.queryStatus(i, proxy.Statement{Verb: proxy.Inspect})
}

// queryStatus sends a statement whose answer is a replication status, on a connection
// of its own.
func (h *Host) queryStatus(i directory.Instance, s proxy.Statement) (proxy.ReplicationStatus, error) {
	target := proxy.Target{Group: i.Group, Instance: i.ID, Address: i.Address, Account: h.lowestAccount()}
	conn, _, err := h.Dialer.Dial(probeTimeout, target)
	if err != nil {
		return proxy.ReplicationStatus{}, fmt.Errorf("open connection: %w", err)
	}
	defer conn.Close()
	answers, err := conn.Exchange(probeTimeout, proxy.Command{Statement: s})
	if err != nil {
		return proxy.ReplicationStatus{}, fmt.Errorf("%s: %w", s.Verb, err)
	}
	if failure := answers[0].Failure; failure != nil {
		return proxy.ReplicationStatus{}, fmt.Errorf("%s: %w", s.Verb, failure)
	}
	if len(answers[0].Rows) == 0 {
		return proxy.ReplicationStatus{}, eris.Errorf("%s: answer without a row", s.Verb)
	}
	status, err := h.Decode.ReplicationStatus(answers[0].Rows[0])
	if err != nil {
		return proxy.ReplicationStatus{}, fmt.Errorf("%s: %w", s.Verb, err)
	}
	return status, nil
}

// probe inspects an instance, records the result and reports whether the instance
// answered.
func (h *Host) probe(id proxy.InstanceID) bool {
	cs := h.clusterState
	cs.mu.Lock()
	i, ok := cs.instances[id]
	cs.mu.Unlock()
	if !ok {
		return false
	}
	// An instance that refuses a connection or the statement has answered.
	var failure *proxy.Failure
	if _, err := h.inspect(i.Instance); err != nil && !errors.As(err, &failure) {
		cs.addSuspect(h.Clock.Now(), id)
		return false
	}
	h.recordReachable(id)
	return true
}

// probeSuspects regularly probes the suspected primaries, so that a suspicion ends
// soon after its cause.
func (h *Host) probeSuspects(ctx context.Context) {
	for timing.Sleep(ctx, suspectTimeout/2) {
		for _, id := range h.clusterState.suspectedPrimaries() {
			if i, ok := h.clusterState.knownInstance(id); ok && h.evacuations.State(h.Clock.Now(), i.Zone) == evacuation.Closed {
				continue
			}
			h.probe(id)
		}
	}
}

// lowestAccount returns the account under which the host opens its own connections,
// which is the first by ID; empty if there are no accounts.
func (h *Host) lowestAccount() proxy.AccountID {
	c, _ := h.clusterState.currentConfiguration()
	lowest := proxy.AccountID("")
	if c == nil {
		return lowest
	}
	for id := range c.Accounts {
		if lowest == "" || id < lowest {
			lowest = id
		}
	}
	return lowest
}

// inspectAll inspects instances concurrently and returns the replication statuses of
// those that answered.
func (h *Host) inspectAll(instances []directory.Instance) map[proxy.InstanceID]proxy.ReplicationStatus {
	type answer struct {
		id     proxy.InstanceID
		status proxy.ReplicationStatus
		err    error
	}
	answers := make(chan answer, len(instances))
	for _, i := range instances {
		go func() {
			status, err := h.inspect(i)
			answers <- answer{i.ID, status, err}
		}()
	}
	statuses := make(map[proxy.InstanceID]proxy.ReplicationStatus, len(instances))
	for range instances {
		if a := <-answers; a.err == nil {
			statuses[a.id] = a.status
		} else {
			h.Log.Info().Err(a.err).Str("instance", string(a.id)).Msg("instance was not inspected")
		}
	}
	return statuses
}
