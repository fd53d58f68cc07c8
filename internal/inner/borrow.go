package inner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// At returns the Lender that borrows from the pool at address.
func (c *Client) At(address string) proxy.Acquirer { return remote{c, address} }

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

// Unwrap returns the refusal that the cause carries or one of its own, since
// nothing of the request was sent.
func (u *Unreachable) Unwrap() []error {
	var r *proxy.Refusal
	if errors.As(u.Err, &r) && r.Outcome == proxy.NotRun {
		return []error{u.Err}
	}
	return []error{proxy.Refuse(proxy.CannotConnectNow, "pool host is not reachable"), u.Err}
}

const (
	// answerShare is the part of the patience, as a divisor, that is left for
	// the way of the pool's answer, at most answerTime.
	answerShare = 10
	answerTime  = 50 * time.Millisecond
	// retryAfter is what callers are told when no connection was lent in time.
	retryAfter = 100 * time.Millisecond
)

// Acquire implements proxy.Lender. A free peer connection that fails is replaced
// once by a new one.
func (r remote) Acquire(ctx context.Context, ask proxy.ConnectionRequest) (proxy.AcquiredConnection, error) {
	if ask.WaitTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, ask.WaitTimeout)
		defer cancel()
		ask.WaitTimeout -= min(ask.WaitTimeout/answerShare, answerTime)
	}
	if p := r.client.take(r.address); p != nil {
		loan, err := r.client.open(ctx, p, ask)
		if err == nil || ctx.Err() != nil || !unreachable(err) {
			return loan, err
		}
	}
	p, err := r.client.connect(ctx, r.address)
	if err != nil {
		return nil, &Unreachable{r.address, err}
	}
	return r.client.open(ctx, p, ask)
}

func unreachable(err error) bool {
	var u *Unreachable
	return errors.As(err, &u)
}

// open starts a stream on the peer connection and waits for the loan.
func (c *Client) open(ctx context.Context, p *peer, ask proxy.ConnectionRequest) (proxy.AcquiredConnection, error) {
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, end)
	l := &loan{client: c, peer: p, end: end, frame: frame{payload: p.payload}}
	err := l.request(life, ask)
	if !stop() {
		l.abandon()
		r := proxy.Refuse(proxy.TooManyConnections, "no connection to group %s was lent in time", ask.Group)
		r.RetryAfter = retryAfter
		return nil, &Unreachable{p.address, r}
	}
	if err == nil {
		return l, nil
	}
	if unreachable(err) {
		l.abandon()
	} else {
		l.giveBack()
	}
	return nil, err
}

// request asks for the loan. It returns an Unreachable or the pool's refusal.
func (l *loan) request(life context.Context, ask proxy.ConnectionRequest) error {
	stream, err := l.peer.NewStream(life, lendRPC, l.client.Codec)
	if err != nil {
		return &Unreachable{l.peer.address, err}
	}
	l.channel = channel{stream, l.client.Codec}
	if err = l.channel.send(askFrame, &opening{ConnectionRequest: ask, Client: l.client.Nonce}); err != nil {
		return &Unreachable{l.peer.address, err}
	}
	l.signs = startAlive(l.channel, l.client.alive())
	if err = l.channel.receive(&l.frame); err != nil {
		return &Unreachable{l.peer.address, err}
	}
	return l.accept()
}

// giveBack ends the stream and keeps the peer connection.
func (l *loan) giveBack() {
	l.signs.stop()
	_ = l.channel.stream.Close()
	l.peer.payload = l.frame.payload
	l.client.put(l.peer)
}

// abandon closes the peer connection, which ends the stream.
func (l *loan) abandon() {
	if l.signs != nil {
		l.signs.stop()
	}
	l.end()
	_ = l.peer.Close()
}
