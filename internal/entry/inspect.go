package entry

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/internal/timing"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
)

// inspect asks an instance for its condition.
func (h *Host) inspect(i directory.Instance) (proxy.ReplicationStatus, error) {
	return h.ask(i, proxy.Statement{Verb: proxy.Inspect})
}

// ask sends one of the statements that return a condition, on a connection of
// its own.
func (h *Host) ask(i directory.Instance, s proxy.Statement) (proxy.ReplicationStatus, error) {
	target := proxy.Target{Group: i.Group, Instance: i.ID, Address: i.Address, Account: h.anyAccount()}
	link, _, err := h.Dialer.Dial(probeTimeout, target)
	if err != nil {
		return proxy.ReplicationStatus{}, fmt.Errorf("open connection: %w", err)
	}
	defer link.Close()
	answers, err := link.Exchange(probeTimeout, proxy.Command{Statement: s})
	if err != nil {
		return proxy.ReplicationStatus{}, fmt.Errorf("%s: %w", s.Verb, err)
	}
	if failure := answers[0].Failure; failure != nil {
		return proxy.ReplicationStatus{}, fmt.Errorf("%s: %w", s.Verb, failure)
	}
	if len(answers[0].Rows) == 0 {
		return proxy.ReplicationStatus{}, eris.Errorf("%s: answer without a row", s.Verb)
	}
	condition, err := h.Decode.ReplicationStatus(answers[0].Rows[0])
	if err != nil {
		return proxy.ReplicationStatus{}, fmt.Errorf("%s: %w", s.Verb, err)
	}
	return condition, nil
}

// probe asks an instance for its condition, notes the result and reports
// whether it answered.
func (h *Host) probe(id proxy.InstanceID) bool {
	b := h.beliefs
	b.mu.Lock()
	i, ok := b.instances[id]
	b.mu.Unlock()
	if !ok {
		return false
	}
	if _, err := h.inspect(i.Instance); err != nil {
		b.suspect(h.Clock.Now(), id)
		return false
	}
	h.answered(id)
	return true
}

// probeSuspects asks the suspected primaries again, so that a suspicion does not
// outlast its cause.
func (h *Host) probeSuspects(ctx context.Context) {
	for timing.Sleep(ctx, suspectTime/2) {
		for _, id := range h.beliefs.suspected() {
			h.probe(id)
		}
	}
}

// anyAccount returns an account under which the host opens its own connections.
func (h *Host) anyAccount() proxy.AccountID {
	c, _ := h.beliefs.current()
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

// inspectAll asks all instances at the same time.
func (h *Host) inspectAll(instances []directory.Instance) map[proxy.InstanceID]proxy.ReplicationStatus {
	type answer struct {
		id        proxy.InstanceID
		condition proxy.ReplicationStatus
		err       error
	}
	answers := make(chan answer, len(instances))
	for _, i := range instances {
		go func() {
			condition, err := h.inspect(i)
			answers <- answer{i.ID, condition, err}
		}()
	}
	conditions := make(map[proxy.InstanceID]proxy.ReplicationStatus, len(instances))
	for range instances {
		if a := <-answers; a.err == nil {
			conditions[a.id] = a.condition
		} else {
			h.Log.Info().Err(a.err).Str("instance", string(a.id)).Msg("instance was not inspected")
		}
	}
	return conditions
}
