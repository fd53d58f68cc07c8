package daemon

import (
	"fmt"

	"github.com/auburnyoke/auburnyoke/internal/rpc"
)

// buildPeers builds both sides of the protocol between hosts.
func (h *Host) buildPeers() error {
	codec, err := rpc.NewCodec()
	if err != nil {
		return fmt.Errorf("codec: %w", err)
	}
	registry, err := newRegistry()
	if err != nil {
		return err
	}
	fleet := h.settings.Fleet
	certificates := &rpc.Certificates{
		Certificate: fleet.Certificate, Key: fleet.Key, Authority: fleet.Authority, Clock: h.clock, Logger: h.log,
	}
	if err := certificates.Load(); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	h.peers = &rpc.Client{
		Codec: codec, Clock: h.clock, Nonce: uint64(h.self.Incarnation), TLS: certificates.Client(),
		Registry: registry, Logger: h.log,
	}
	h.server = &rpc.Server{
		Acquirer: h.pool, Codec: codec, TLS: certificates.Server(), Registry: registry, Deliver: h.receive,
		Logger: h.log, Metrics: h.registry,
	}
	return nil
}
