package entry

import (
	"context"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/balance"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/evacuation"
)

const (
	// maxForwardedValues is the size of the texts of session values, in bytes, up to which commands
	// run on other hosts.
	maxForwardedValues = 32 << 10
	// maxPatientTries is the number of refusals for a long wait after which an operation
	// accepts any wait.
	maxPatientTries = 2
	// unservableRetry is the time after which a client may retry an operation for whose
	// group no instance is known.
	unservableRetry = 500 * time.Millisecond
)

// choose returns the instance and the host for an operation. If the group has no usable
// instance, it waits for one until expires, unless a new primary is expected later.
func (s *session) choose(op operation, request balance.Request, expires proxy.Instant) (balance.Choice, *proxy.Failure) {
	h := s.host
	request.Group = op.route.Group
	start := h.Clock.Now()
	defer func() { s.trace.waited += h.Clock.Now().Sub(start) }()
	for {
		now := h.Clock.Now()
		changed, expected := h.clusterState.nextPrimary(op.route.Group)
		choice, ok := h.balance.Choose(now, request)
		if ok && h.evacuations.State(now, choice.Zone) != evacuation.Closed {
			if s.valuesSize-definitionSize*len(s.values) > maxForwardedValues {
				choice.Host = h.Settings.Host
			}
			return choice, nil
		}
		if failure := h.evacuations.Refuse(now, h.searchFor(request)); failure != nil {
			return balance.Choice{}, failure
		}
		if wait := expected.Sub(now); now >= expires || now.Add(wait) > expires {
			return balance.Choice{}, &proxy.Failure{
				Code: proxy.Busy, Text: "group has no usable instance", RetryAfter: max(wait, unservableRetry),
			}
		}
		timer := time.NewTimer(min(expires.Sub(now), tickInterval))
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// execute runs a command at the chosen instance, over a connection of the chosen host.
func (s *session) execute(
	op operation, choice balance.Choice, command proxy.Command, expires proxy.Instant, hold bool,
) (proxy.Executed, proxy.HeldConnection) {
	h := s.host
	e := s.execution(op, choice, command, expires)
	e.Hold = hold
	executor := h.executorOf(choice.Host)
	s.trace.tries++
	sent := h.Clock.Now()
	h.balance.Start(choice)
	result, held := executor.Execute(context.Background(), e)
	h.balance.Finish(h.Clock.Now(), choice, result, h.Clock.Now().Sub(sent))
	s.recordExecuted(choice, command, sent, result)
	return result, held
}

// executorOf returns the executor of a host. If the host is no longer known, the
// connections of this host are used.
func (h *Host) executorOf(id proxy.HostID) proxy.Executor {
	if id == h.Settings.Host {
		return ownExecutor{h}
	}
	cs := h.clusterState
	cs.mu.Lock()
	m := cs.members[id]
	cs.mu.Unlock()
	if m == nil || m.entry.Forward == "" {
		return ownExecutor{h}
	}
	return h.forwarder.Executor(m.entry.Forward)
}

// markSilent records that the host at a forward address does not answer.
func (h *Host) markSilent(address string) {
	cs := h.clusterState
	cs.mu.Lock()
	var silent proxy.HostID
	for id, m := range cs.members {
		if m.entry.Forward == address {
			silent = id
		}
	}
	cs.mu.Unlock()
	if silent != "" {
		h.balance.MarkSilent(h.Clock.Now(), silent)
		h.Log.Info().Str("silent", string(silent)).Msg("host does not answer commands")
	}
}

// execution returns a command with the state of the session that it needs.
func (s *session) execution(
	op operation, choice balance.Choice, command proxy.Command, expires proxy.Instant,
) proxy.Execution {
	now := s.host.Clock.Now()
	e := proxy.Execution{
		Group: op.route.Group, Instance: choice.Instance, Account: op.account, Priority: op.route.Priority,
		Due: op.arrived.Add(op.route.Goal).Sub(now), Expires: max(expires.Sub(now), 0), Patience: choice.Patience,
		Values: s.values, Command: command, Writes: s.writes(command.Statement),
	}
	if w := s.host.warmup; w != nil {
		e.SuspectedFor = w.SuspectedFor(now, choice.Instance)
	}
	if definition, ok := s.prepared[command.Statement.Name]; ok && command.Statement.Verb == proxy.Execute {
		e.Preparation = &definition
		e.Command.Statement.Alias = definition.Alias
	}
	return e
}

// recordExecuted records what a result tells about the instance and for the log.
func (s *session) recordExecuted(choice balance.Choice, command proxy.Command, sent proxy.Instant, result proxy.Executed) {
	h := s.host
	s.trace.instance, s.trace.via, s.trace.after = choice.Instance, choice.Host, command.After
	s.trace.waited += result.Waited
	if result.Answer != nil {
		h.clusterState.recordPosition(sent, s.trace.group, choice.Instance, result.Answer.Position)
		s.position = result.Answer.Position
	}
	if choice.Host == h.Settings.Host {
		return
	}
	h.suspectFrom(choice.Instance, result)
	h.Metrics.forwarded.Inc(1)
	if result.Answer == nil {
		h.Metrics.forwardedFailed.Inc(1)
	}
}

// checkPrepared refuses the execution of a statement that the session has not
// prepared.
func (s *session) checkPrepared(st proxy.Statement) *proxy.Failure {
	if _, ok := s.prepared[st.Name]; st.Verb == proxy.Execute && !ok {
		return &proxy.Failure{Code: proxy.UnknownStatement, Text: "no prepared statement has this name"}
	}
	return nil
}

// writes reports whether a statement writes.
func (s *session) writes(st proxy.Statement) bool {
	return st.Verb == proxy.WriteItem || st.Verb == proxy.Execute && s.prepared[st.Name].Writes
}
