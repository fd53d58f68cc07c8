package daemon

import (
	"context"
	"fmt"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/internal/rpc"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/configuration"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/limit"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/member"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/placement"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/promotion"
)

// executeModuleEffect executes the effects whose types the modules define.
func (h *Host) executeModuleEffect(_ context.Context, effect proxy.Effect) {
	switch e := effect.(type) {
	case member.Changed:
		h.driver.Dispatch(h.configuration, configuration.Peers{Live: e.Live, ExpectedHosts: e.ExpectedHosts})
		h.placement.SetHosts(h.poolCandidates(e.Live))
		h.updatePlacement()
		h.driver.Dispatch(h.limits, limit.Peers{Live: e.Live})
	case limit.Violation:
		metrics.GetOrRegisterCounter("limit.violations", h.registry).Inc(1)
		h.log.Error().Str("account", string(e.Account)).Msg("invariant violated: " + e.Text)
	case configuration.Apply:
		h.driver.Dispatch(h.limits, limit.Configure{Document: e.Loaded.Document, Revision: e.Loaded.Revision})
		h.driver.Dispatch(h.promotion, promotion.Configured{Document: e.Loaded.Document, Revision: e.Loaded.Revision})
		h.updatePlacement()
		h.log.Info().Uint64("revision", uint64(e.Loaded.Revision)).Msg("configuration in force")
		h.frontend.ReauthorizeSessions()
		h.reporter.requestReport()
	case configuration.Reject:
		h.log.Error().Err(e.Err).Msg("document rejected")
	default:
		if h.supervisor.Execute(effect) {
			return
		}
		h.log.Error().Type("effect", effect).Msg("unknown effect")
	}
}

// send delivers control messages to another host. It also dials hosts that are
// marked as failed, since only a delivered probe shows that they are back.
func (h *Host) send(ctx context.Context, to proxy.HostID, messages []proxy.Message) error {
	peer, ok := h.members.Find(to)
	if !ok {
		return eris.Errorf("host %s is not in the membership table", to)
	}
	return h.peers.Deliver(ctx, peer.Address, h.self.ID, messages)
}

// receive passes a control message to the modules, or executes a cancel request.
func (h *Host) receive(message proxy.Received) {
	if request, ok := message.Message.(*cancelRequest); ok {
		ctx, stop := context.WithTimeout(context.Background(), sendTimeout)
		defer stop()
		h.frontend.Cancel(ctx, request.Process, request.Secret)
		return
	}
	h.driver.Broadcast(message)
}

// newRegistry assigns the numbers of the control messages. A number must never be
// reused for another type, since hosts of two releases run side by side.
func newRegistry() (*rpc.Registry, error) {
	registry := rpc.NewRegistry()
	for kind, message := range map[rpc.MessageKind]proxy.Message{
		1:  &member.Ping{},
		2:  &member.Ack{},
		3:  &member.Relay{},
		4:  &configuration.Poll{},
		5:  &configuration.Report{},
		6:  &promotion.HealthReport{},
		7:  &promotion.Drain{},
		8:  &promotion.Drained{},
		9:  &limit.ShareRequest{},
		10: &limit.ShareGrant{},
		11: &cancelRequest{},
	} {
		if err := registry.Register(kind, message); err != nil {
			return nil, fmt.Errorf("control messages: %w", err)
		}
	}
	return registry, nil
}

// poolCandidates returns the hosts that may become pool hosts: this host and the
// live ones, except those that are leaving.
func (h *Host) poolCandidates(live []proxy.HostState) []proxy.HostState {
	var hosts []proxy.HostState
	if !h.stopping.Load() {
		hosts = append(hosts, h.self)
	}
	for _, peer := range live {
		if !peer.Leaving {
			hosts = append(hosts, peer)
		}
	}
	return hosts
}

// updatePlacement sends the pool hosts of each group to the promotion module.
func (h *Host) updatePlacement() {
	document, _ := h.configuration.Current()
	if document == nil {
		return
	}
	live, _ := h.members.Live()
	hosts := h.poolCandidates(live)
	for i := range document.Groups {
		group := &document.Groups[i]
		placed := promotion.Placed{Group: group.ID}
		for _, host := range placement.Pools(group, hosts) {
			placed.Hosts = append(placed.Hosts, host.ID)
		}
		h.driver.Dispatch(h.promotion, placed)
	}
}

// findGroup returns a group of the document in force, or nil.
func (h *Host) findGroup(id proxy.GroupID) *proxy.Group {
	document, _ := h.configuration.Current()
	return document.Group(id)
}

// pooled reports whether this host is a pool host of a group.
func (h *Host) pooled(id proxy.GroupID) bool {
	group := h.findGroup(id)
	if group == nil {
		return false
	}
	pooled, _ := h.placement.Pooled(group)
	return pooled
}

// connectionShare returns the number of connections that this host's pool may open
// to each instance of a group. The supervisor uses one connection of each pool
// host's share.
func (h *Host) connectionShare(id proxy.GroupID) int {
	group := h.findGroup(id)
	if group == nil {
		return 0
	}
	target := 0
	if pooled, width := h.placement.Pooled(group); pooled {
		target = group.Connections/width - 1
	}
	return h.shares.Update(h.clock.Now(), id, target)
}

// handleObserved passes an observation to the promotion module. If the instance
// belongs to the current term, it also reports the instance's log positions to
// the pool.
func (h *Host) handleObserved(o promotion.Observed) {
	h.driver.Dispatch(h.promotion, o)
	leadership, known := h.promotion.Leader(o.Group)
	leads := o.Reachable && !o.Recovery && o.Instance == leadership.Primary
	if known && (leads || o.Recovery && o.TermState.Follows(leadership.Term)) {
		h.pool.RecordPosition(o.Group, o.Instance, leadership.Term, o.Replayed, o.Sent)
	}
}

func (h *Host) reportWriting(group proxy.GroupID, count int) {
	h.driver.Dispatch(h.promotion, promotion.InFlightWrites{Group: group, Count: count})
}

// forwarder returns the acquirer of connections from the preferred pool host of a
// group, which may be this host.
func (h *Host) forwarder() proxy.Acquirer {
	return &rpc.Forwarder{
		Host: h.self.ID, Local: h.pool, Client: h.peers, Placement: h.placement,
		Catalog: h.configuration, Clock: h.clock,
	}
}
