package daemon

import (
	"fmt"

	"github.com/auburnyoke/auburnyoke/internal/inner"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// firstLeaders takes the primaries that the document names.
type firstLeaders struct{ catalog proxy.Catalog }

func (f firstLeaders) Leader(group proxy.GroupID) (proxy.Leadership, bool) {
	document, _ := f.catalog.Current()
	if document == nil {
		return proxy.Leadership{}, false
	}
	for _, g := range document.Groups {
		if g.ID != group {
			continue
		}
		for _, i := range g.Instances {
			if i.Primary {
				return proxy.Leadership{Term: 1, Primary: i.ID}, true
			}
		}
	}
	return proxy.Leadership{}, false
}

func (firstLeaders) Acknowledge(proxy.Instant, proxy.GroupID, proxy.InstanceID, proxy.Bookmark) error {
	return nil
}

type admitAll struct{}

func (admitAll) Admit(proxy.Instant, proxy.AccountID) error { return nil }

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
	h.peers = &inner.Client{Codec: codec, Clock: h.clock, Nonce: uint64(h.self.Incarnation), Logger: h.log}
	h.server = &inner.Server{Lender: h.pool, Codec: codec, Logger: h.log, Metrics: h.registry}
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
