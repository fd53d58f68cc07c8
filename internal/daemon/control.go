package daemon

import (
	"context"
	"fmt"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/configuration"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/member"
)

// own carries out the effects that modules define themselves.
func (h *Host) own(_ context.Context, effect proxy.Effect) []proxy.Effect {
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
	return nil
}

// send delivers a control message to a live host.
func (h *Host) send(_ context.Context, to proxy.HostID, _ proxy.Message) error {
	return fmt.Errorf("host %s is not reachable", to)
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
