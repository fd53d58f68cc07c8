package rpc

import (
	"context"
	"fmt"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// maxBatchMessages is the largest accepted number of messages in a batch.
const maxBatchMessages = 1024

// batch is the request of the Deliver RPC.
type batch struct {
	From     proxy.HostID     `cbor:"1,keyasint"`
	Messages []encodedMessage `cbor:"2,keyasint"`
}

// Validate implements proxy.Message.
func (b *batch) Validate() error {
	if len(b.Messages) > maxBatchMessages {
		return eris.Errorf("batch of %d messages: at most %d are allowed", len(b.Messages), maxBatchMessages)
	}
	return proxy.CheckID("host", string(b.From))
}

// deliver passes the messages of a batch to Deliver. It skips messages of unknown kinds,
// since hosts of two releases run at the same time during an update.
func (s *Server) deliver(_ context.Context, b *batch) (*empty, error) {
	if s.Registry == nil || s.Deliver == nil {
		return nil, eris.New("this host accepts no control messages")
	}
	for _, encoded := range b.Messages {
		message, err := s.Registry.decode(s.Codec, encoded)
		if err != nil {
			metrics.GetOrRegisterCounter("inner.message.rejected", s.Metrics).Inc(1)
			s.Logger.Warn().Err(err).Str("from", string(b.From)).Msg("control message rejected")
			continue
		}
		s.Deliver(proxy.Received{From: b.From, Message: message})
	}
	return &empty{}, nil
}

// Deliver sends control messages to the host at address in one batch. It returns when
// the host has accepted the batch.
func (c *Client) Deliver(ctx context.Context, address string, from proxy.HostID, messages []proxy.Message) error {
	b := batch{From: from}
	for _, message := range messages {
		p, err := c.Registry.encode(c.Codec, message)
		if err != nil {
			return fmt.Errorf("batch for host %s: %w", address, err)
		}
		b.Messages = append(b.Messages, p)
	}
	p := c.takePeerConn(address)
	if p == nil {
		var err error
		if p, err = c.connect(ctx, address); err != nil {
			return err
		}
	}
	if err := p.Invoke(ctx, deliverRPC, c.Codec, &b, &empty{}); err != nil {
		_ = p.Close()
		return fmt.Errorf("deliver to host %s: %w", address, err)
	}
	c.putPeerConn(p)
	return nil
}
