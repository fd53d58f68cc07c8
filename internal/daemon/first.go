package daemon

import (
	"fmt"

	"github.com/auburnyoke/auburnyoke/internal/inner"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// gate is the catalog of the front. It has no document while the host must not
// serve clients.
type gate struct{ host *Host }

// Current implements proxy.Catalog.
func (g gate) Current() (*proxy.Document, proxy.Revision) {
	if g.host.configuration.Serving(g.host.clock.Now()) != nil {
		return nil, 0
	}
	return g.host.configuration.Current()
}

type noPositions struct{}

func (noPositions) Minimum(proxy.Instant, proxy.GroupID, proxy.AccountID, string) proxy.Bookmark {
	return proxy.Bookmark{}
}

func (noPositions) Committed(proxy.Instant, proxy.GroupID, proxy.AccountID, string, proxy.Bookmark) {
}

func (h *Host) buildPeers() error {
	codec, err := inner.NewCodec()
	if err != nil {
		return fmt.Errorf("codec: %w", err)
	}
	registry, err := newRegistry()
	if err != nil {
		return err
	}
	fleet := h.settings.Fleet
	certificates := &inner.Certificates{
		Certificate: fleet.Certificate, Key: fleet.Key, Authority: fleet.Authority, Clock: h.clock, Logger: h.log,
	}
	if err := certificates.Load(); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	h.peers = &inner.Client{
		Codec: codec, Clock: h.clock, Nonce: uint64(h.self.Incarnation), TLS: certificates.Client(),
		Registry: registry, Logger: h.log,
	}
	h.server = &inner.Server{
		Lender: h.pool, Codec: codec, TLS: certificates.Server(), Registry: registry, Deliver: h.receive,
		Logger: h.log, Metrics: h.registry,
	}
	return nil
}

func (h *Host) page() StatusPage {
	_, revision := h.configuration.Current()
	page := StatusPage{
		Host: h.self.ID, Zone: h.self.Zone, Incarnation: h.self.Incarnation, Environment: h.settings.Environment,
		Stage: h.settings.Stage, Revision: revision, Ready: true, Stopping: h.stopping.Load(),
		Sessions: len(h.front.Sessions()),
	}
	if err := h.configuration.Serving(h.clock.Now()); err != nil {
		page.Ready, page.Reason = false, err.Error()
	}
	live, _ := h.members.Live()
	for _, peer := range live {
		page.Peers = append(page.Peers, PeerStatus{Host: peer.ID, Zone: peer.Zone, Address: peer.Address, Leaving: peer.Leaving})
	}
	return page
}
