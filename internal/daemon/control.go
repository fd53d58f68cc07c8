package daemon

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/internal/inner"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/configuration"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/member"
)

// own carries out the effects that modules define themselves.
func (h *Host) own(_ context.Context, effect proxy.Effect) {
	switch e := effect.(type) {
	case member.Changed:
		h.driver.Post(configuration.Peers{Live: e.Live, Known: e.Known})
	case configuration.Apply:
		h.log.Info().Uint64("revision", uint64(e.Loaded.Revision)).Msg("configuration in force")
		h.front.Recheck()
	case configuration.Reject:
		h.log.Error().Err(e.Err).Msg("document rejected")
	default:
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
	h.driver.Post(message)
}

// newRegistry assigns the numbers of the control messages. A number is never
// used for another type, since hosts of two releases run side by side.
func newRegistry() (*inner.Registry, error) {
	registry := inner.NewRegistry()
	for kind, message := range map[inner.MessageKind]proxy.Message{
		1: &member.Ping{},
		2: &member.Ack{},
		3: &member.Relay{},
		4: &configuration.Poll{},
		5: &configuration.Report{},
	} {
		if err := registry.Register(kind, message); err != nil {
			return nil, fmt.Errorf("control messages: %w", err)
		}
	}
	return registry, nil
}

// share returns this host's connections to each instance of a group.
func (h *Host) share(group proxy.GroupID) int {
	document, _ := h.configuration.Current()
	if document == nil {
		return 0
	}
	_, known := h.members.Live()
	for _, g := range document.Groups {
		if g.ID == group {
			return g.Connections / (known + 1)
		}
	}
	return 0
}
