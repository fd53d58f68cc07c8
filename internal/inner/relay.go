package inner

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Loan is what the server needs of the loans of its Lender.
type Loan interface {
	proxy.Loan
	// Raw returns the connection below the Frontend.
	Raw() net.Conn
	// ConfirmFor is Confirm with an answer that holds for a time counted from
	// before the call.
	ConfirmFor(ctx context.Context, valid time.Duration) (proxy.Bookmark, error)
}

// quieter is implemented by connections that follow the protocol.
type quieter interface {
	// AllAnswered reports whether all requests have been answered.
	AllAnswered() bool
}

// past is a deadline that makes blocked reads and writes return.
var past = time.Unix(1, 0)

// relay copies between a loan's stream and its connection.
type relay struct {
	channel channel
	loan    Loan
	conn    net.Conn
	// validity is how long a confirmation holds.
	validity time.Duration
	// buffers holds *[chunkSize]byte.
	buffers    *sync.Pool
	pumping    sync.WaitGroup
	cancelling atomic.Bool

	mu   sync.Mutex
	cond sync.Cond
	// started reports that the pump exists.
	started bool
	// writing reports that bytes are being written to the connection.
	writing bool
	// held asks the pump to park.
	held bool
	// parked reports that the pump does not read.
	parked bool
	// ended reports that the pump must end or has ended.
	ended bool
	// failed reports that the pump ended because of an error.
	failed bool
}

func newRelay(c channel, loan Loan, validity time.Duration, buffers *sync.Pool) *relay {
	r := &relay{channel: c, loan: loan, conn: loan.Raw(), validity: validity, buffers: buffers, parked: true}
	r.cond.L = &r.mu
	return r
}

// run serves the frames of the front until the loan is released or the front's
// connection ends. In the second case a connection inside a transaction is
// closed, so that the instance rolls back.
func (r *relay) run() error {
	stop := r.interruptAtEnd()
	var f frame
	for {
		if err := r.channel.receive(&f); err != nil {
			stop()
			r.release(proxy.Return{Broken: true})
			return err
		}
		if f.kind == releaseFrame {
			stop()
			r.release(r.returned(&f))
			return nil
		}
		if err := r.serve(&f); err != nil {
			stop()
			r.release(proxy.Return{Broken: true})
			return r.channel.refuse(err)
		}
	}
}

// interruptAtEnd makes reads and writes of the connection fail when the stream
// ends. The returned function waits until no such interruption can follow.
func (r *relay) interruptAtEnd() (stop func()) {
	done := make(chan struct{})
	interrupt := func() {
		defer close(done)
		_ = r.conn.SetDeadline(past)
	}
	cancel := context.AfterFunc(r.channel.stream.Context(), interrupt)
	return func() {
		if !cancel() {
			<-done
		}
	}
}

func (r *relay) returned(f *frame) proxy.Return {
	var m returned
	if err := r.channel.codec.Unmarshal(f.payload, &m); err != nil {
		return proxy.Return{Broken: true}
	}
	return m.Return
}

func (r *relay) serve(f *frame) error {
	switch f.kind {
	case dataFrame:
		return r.write(f.payload)
	case confirmFrame:
		return r.confirm()
	case cancelFrame:
		// The front's further frames must not wait for the cancel request.
		if r.cancelling.CompareAndSwap(false, true) {
			go r.cancel()
		}
		return nil
	default:
		return proxy.Doubt(proxy.ProtocolViolation, "frame of kind %d within a loan", f.kind)
	}
}

// write sends bytes to the instance while the pump reads its answers.
func (r *relay) write(data []byte) error {
	r.mu.Lock()
	if r.failed {
		r.mu.Unlock()
		return proxy.Doubt(proxy.ConnectionFailure, "the connection to the instance has failed")
	}
	if !r.started {
		r.started = true
		r.pumping.Add(1)
		go r.pump()
	}
	r.writing = true
	r.cond.Broadcast()
	r.mu.Unlock()
	_, err := r.conn.Write(data)
	r.mu.Lock()
	r.writing = false
	r.mu.Unlock()
	if err != nil {
		return proxy.Doubt(proxy.ConnectionFailure, "write to the instance: %v", err)
	}
	return nil
}

// confirm holds the pump, since the confirmation uses the loan's connection.
func (r *relay) confirm() error {
	r.hold()
	defer r.resume()
	answer := confirmation{Valid: r.validity}
	var err error
	answer.Bookmark, err = r.loan.ConfirmFor(r.channel.stream.Context(), r.validity)
	if err != nil {
		return r.channel.refuse(err)
	}
	return r.channel.send(confirmedFrame, &answer)
}

// cancelTimeout limits a cancel request.
const cancelTimeout = 3 * time.Second

func (r *relay) cancel() {
	defer r.cancelling.Store(false)
	ctx, cancel := context.WithTimeout(r.channel.stream.Context(), cancelTimeout)
	defer cancel()
	// The front learns the effect from the statement's answer.
	_ = r.loan.Cancel(ctx)
}

// release ends the pump and gives the connection back.
func (r *relay) release(back proxy.Return) {
	r.hold()
	r.mu.Lock()
	r.ended = true
	back.Broken = back.Broken || r.failed
	r.cond.Broadcast()
	r.mu.Unlock()
	r.pumping.Wait()
	_ = r.conn.SetDeadline(time.Time{})
	r.loan.Release(back)
}

// hold waits until the pump does not read.
func (r *relay) hold() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held = true
	if r.parked {
		return
	}
	_ = r.conn.SetReadDeadline(past)
	for !r.parked {
		r.cond.Wait()
	}
	_ = r.conn.SetReadDeadline(time.Time{})
}

func (r *relay) resume() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held = false
	r.cond.Broadcast()
}
