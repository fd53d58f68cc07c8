package inner

import (
	"context"
	"errors"
	"fmt"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// At returns the Lender that borrows from the pool at address.
func (c *Client) At(address string) proxy.Lender { return remote{c, address} }

// remote implements proxy.Lender.
type remote struct {
	client  *Client
	address string
}

// Unreachable is the error of a Lend that got no answer from the pool host.
// Nothing was executed.
type Unreachable struct {
	Address string
	Err     error
}

// Error implements error.
func (u *Unreachable) Error() string {
	return fmt.Sprintf("pool host %s: %v", u.Address, u.Err)
}

// Unwrap returns a refusal, since nothing of the request was sent.
func (u *Unreachable) Unwrap() []error {
	return []error{proxy.Refuse(proxy.CannotConnectNow, "pool host is not reachable"), u.Err}
}

// Lend implements proxy.Lender. A free peer connection that fails is replaced
// once by a new one.
func (r remote) Lend(ctx context.Context, ask proxy.Ask) (proxy.Loan, error) {
	if ask.Patience > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, ask.Patience)
		defer cancel()
	}
	if p := r.client.take(r.address); p != nil {
		loan, err := r.client.open(ctx, p, ask)
		var unreachable *Unreachable
		if err == nil || ctx.Err() != nil || !errors.As(err, &unreachable) {
			return loan, err
		}
	}
	p, err := r.client.connect(ctx, r.address)
	if err != nil {
		return nil, &Unreachable{r.address, err}
	}
	return r.client.open(ctx, p, ask)
}

// open starts a stream on the peer connection and waits for the loan.
func (c *Client) open(ctx context.Context, p *peer, ask proxy.Ask) (proxy.Loan, error) {
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, end)
	l, err := c.request(life, p, ask)
	if !stop() && err == nil {
		err = &Unreachable{p.address, ctx.Err()}
	}
	if err == nil {
		l.end = end
		return l, nil
	}
	var unreachable *Unreachable
	if !errors.As(err, &unreachable) {
		_ = l.channel.stream.Close()
		c.put(p)
		end()
		return nil, err
	}
	end()
	_ = p.Close()
	if ctx.Err() != nil {
		refusal := proxy.Refuse(proxy.TooManyConnections, "no connection to group %s was lent in time", ask.Group)
		return nil, &Unreachable{p.address, refusal}
	}
	return nil, err
}

// request returns the loan, an Unreachable or the pool's refusal.
func (c *Client) request(life context.Context, p *peer, ask proxy.Ask) (*loan, error) {
	stream, err := p.NewStream(life, lendRPC, c.Codec)
	if err != nil {
		return nil, &Unreachable{p.address, err}
	}
	l := &loan{client: c, peer: p, channel: channel{stream, c.Codec}}
	if err = l.channel.send(askFrame, &opening{Ask: ask, Client: c.Nonce}); err != nil {
		return l, &Unreachable{p.address, err}
	}
	if err = l.channel.receive(&l.frame); err != nil {
		return l, &Unreachable{p.address, err}
	}
	return l, l.accept()
}
