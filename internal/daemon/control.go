package daemon

import (
	"context"
	"fmt"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/internal/inner"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/configuration"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/limit"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/member"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/placement"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/promotion"
)

// own carries out the effects that modules define themselves.
func (h *Host) own(_ context.Context, effect proxy.Effect) {
	switch e := effect.(type) {
	case member.Changed:
		h.driver.Tell(h.configuration, configuration.Peers{Live: e.Live, Known: e.Known})
		h.placement.SetHosts(h.poolCandidates(e.Live))
		h.place()
		h.driver.Tell(h.limits, limit.Peers{Live: e.Live})
	case limit.Violation:
		metrics.GetOrRegisterCounter("limit.violations", h.registry).Inc(1)
		h.log.Error().Str("account", string(e.Account)).Msg("invariant violated: " + e.Text)
	case configuration.Apply:
		h.driver.Tell(h.limits, limit.Configure{Document: e.Loaded.Document, Revision: e.Loaded.Revision})
		h.driver.Tell(h.promotion, promotion.Configured{Document: e.Loaded.Document, Revision: e.Loaded.Revision})
		h.place()
		h.log.Info().Uint64("revision", uint64(e.Loaded.Revision)).Msg("configuration in force")
		h.front.ReauthorizeSessions()
		h.reporter.wake()
	case configuration.Reject:
		h.log.Error().Err(e.Err).Msg("document rejected")
	default:
		if h.supervisor.Carry(effect) {
			return
		}
		h.log.Error().Type("effect", effect).Msg("effect unknown")
	}
}

// send delivers control messages to another host. A failed host is dialled too,
// since probes find out when it is back.
func (h *Host) send(ctx context.Context, to proxy.HostID, messages []proxy.Message) error {
	peer, ok := h.members.Find(to)
	if !ok {
		return eris.Errorf("host %s is not known", to)
	}
	return h.peers.Deliver(ctx, peer.Address, h.self.ID, messages)
}

// receive hands a control message to the modules.
func (h *Host) receive(message proxy.Received) {
	if request, ok := message.Message.(*cancelRequest); ok {
		ctx, stop := context.WithTimeout(context.Background(), sendTimeout)
		defer stop()
		h.front.Cancel(ctx, request.Process, request.Secret)
		return
	}
	h.driver.Post(message)
}

// newRegistry assigns the numbers of the control messages. A number is never
// used for another type, since hosts of two releases run side by side.
func newRegistry() (*inner.Registry, error) {
	registry := inner.NewRegistry()
	for kind, message := range map[inner.MessageKind]proxy.Message{
		1:  &member.Ping{},
		2:  &member.Ack{},
		3:  &member.Relay{},
		4:  &configuration.Poll{},
		5:  &configuration.Report{},
		6:  &promotion.View{},
		7:  &promotion.Drain{},
		8:  &promotion.Drained{},
		9:  &limit.Ask{},
		10: &limit.Grant{},
		11: &cancelRequest{},
	} {
		if err := registry.Register(kind, message); err != nil {
			return nil, fmt.Errorf("control messages: %w", err)
		}
	}
	return registry, nil
}

// poolCandidates returns the hosts that may pool groups: this one and the live
// ones, without those that are leaving.
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

// place tells the promotion module the pool hosts of each group.
func (h *Host) place() {
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
		h.driver.Tell(h.promotion, placed)
	}
}

// find returns a group of the document in force, or nil.
func (h *Host) find(id proxy.GroupID) *proxy.Group {
	document, _ := h.configuration.Current()
	return document.Group(id)
}

// pooled reports whether this host pools a group.
func (h *Host) pooled(id proxy.GroupID) bool {
	group := h.find(id)
	if group == nil {
		return false
	}
	pooled, _ := h.placement.Pooled(group)
	return pooled
}

// share returns this host's connections to each instance of a group. One of
// each pool host's connections is the supervisor's.
func (h *Host) share(id proxy.GroupID) int {
	group := h.find(id)
	if group == nil {
		return 0
	}
	target := 0
	if pooled, width := h.placement.Pooled(group); pooled {
		target = group.Connections/width - 1
	}
	return h.shares.Use(h.clock.Now(), id, target)
}

// observed hands an observation to the promotion module and tells the pool how
// far an instance of the current term has come.
func (h *Host) observed(o promotion.Observed) {
	h.driver.Tell(h.promotion, o)
	leadership, known := h.promotion.Leader(o.Group)
	leads := o.Reachable && !o.Recovery && o.Instance == leadership.Primary
	if known && (leads || o.Recovery && o.Mark.Follows(leadership.Term)) {
		h.pool.Advance(o.Group, o.Instance, leadership.Term, o.Replayed, o.Sent)
	}
}

func (h *Host) writing(group proxy.GroupID, count int) {
	h.driver.Tell(h.promotion, promotion.Writing{Group: group, Count: count})
}

// forwarder lends from this host's pool or another's.
func (h *Host) forwarder() proxy.Lender {
	return &inner.Forwarder{
		Host: h.self.ID, Local: h.pool, Client: h.peers, Placement: h.placement,
		Catalog: h.configuration, Clock: h.clock,
	}
}
