package rpc

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// AcquiredConnection is the interface that the server requires of the connections that it
// acquires from its host's pool.
type AcquiredConnection interface {
	proxy.AcquiredConnection
	// Raw returns the network connection below the Frontend.
	Raw() net.Conn
	// ConfirmFor is like Confirm, but the confirmation stays valid for a time that is
	// counted from before the call.
	ConfirmFor(ctx context.Context, valid time.Duration) (proxy.Bookmark, error)
}

// responseTracker is implemented by network connections that track the protocol state.
type responseTracker interface {
	// AllAnswered reports whether all requests have been answered.
	AllAnswered() bool
}

// pastDeadline is a deadline that interrupts blocked reads and writes.
var pastDeadline = time.Unix(1, 0)

// relay copies between the stream of a peer and an acquired connection of this host.
type relay struct {
	frameStream  frameStream
	acquired     AcquiredConnection
	instanceConn net.Conn
	// confirmationValidity is the validity period of a confirmation.
	confirmationValidity time.Duration
	// buffers holds buffers of type *[dataChunkSize]byte for forwardAnswers.
	buffers    *sync.Pool
	running    sync.WaitGroup
	cancelling atomic.Bool

	mu   sync.Mutex
	cond sync.Cond
	// started reports that forwardAnswers was started.
	started bool
	// writing reports that bytes are being written to the connection.
	writing bool
	// paused makes forwardAnswers park, that is wait without reading.
	paused bool
	// parked reports that forwardAnswers does not read.
	parked bool
	// ended reports that forwardAnswers must end.
	ended bool
	// failed reports that forwardAnswers ended because of an error.
	failed bool
}

func newRelay(frames frameStream, acquired AcquiredConnection, confirmationValidity time.Duration, buffers *sync.Pool) *relay {
	r := &relay{frameStream: frames, acquired: acquired, instanceConn: acquired.Raw(), confirmationValidity: confirmationValidity, buffers: buffers, parked: true}
	r.cond.L = &r.mu
	return r
}

// run handles the frames of the peer until it releases the connection or the peer
// connection ends. In the second case the acquired connection is closed, so that the
// instance rolls back an open transaction.
func (r *relay) run() error {
	stop := r.interruptAtEnd()
	var f frame
	for {
		if err := r.frameStream.receive(&f); err != nil {
			stop()
			r.release(proxy.ReleaseState{Broken: true})
			return err
		}
		if f.kind == releaseFrame {
			stop()
			r.release(r.returned(&f))
			return nil
		}
		if err := r.handleFrame(&f); err != nil {
			stop()
			r.release(proxy.ReleaseState{Broken: true})
			return r.frameStream.refuse(err)
		}
	}
}

// interruptAtEnd makes reads and writes of the acquired connection fail when the stream
// ends. The returned function disables this, or waits until it has taken effect.
func (r *relay) interruptAtEnd() (stop func()) {
	interrupted := make(chan struct{})
	interrupt := func() {
		defer close(interrupted)
		_ = r.instanceConn.SetDeadline(pastDeadline)
	}
	cancel := context.AfterFunc(r.frameStream.stream.Context(), interrupt)
	return func() {
		if !cancel() {
			<-interrupted
		}
	}
}

func (r *relay) returned(f *frame) proxy.ReleaseState {
	var message returned
	if err := r.frameStream.codec.Unmarshal(f.payload, &message); err != nil {
		return proxy.ReleaseState{Broken: true}
	}
	return message.ReleaseState
}

func (r *relay) handleFrame(f *frame) error {
	switch f.kind {
	case dataFrame:
		return r.write(f.payload)
	case confirmFrame:
		return r.confirm()
	case cancelFrame:
		// Further frames of the peer must not wait for the cancel request.
		if r.cancelling.CompareAndSwap(false, true) {
			go r.cancel()
		}
		return nil
	default:
		return proxy.UnknownOutcome(proxy.ProtocolViolation, "frame of kind %d within a loan", f.kind)
	}
}

// write sends bytes to the instance. Meanwhile forwardAnswers reads the answers.
func (r *relay) write(data []byte) error {
	r.mu.Lock()
	if r.failed {
		r.mu.Unlock()
		return proxy.UnknownOutcome(proxy.ConnectionFailure, "the connection to the instance has failed")
	}
	if !r.started {
		r.started = true
		r.running.Add(1)
		go r.forwardAnswers()
	}
	r.writing = true
	r.cond.Broadcast()
	r.mu.Unlock()
	_, err := r.instanceConn.Write(data)
	r.mu.Lock()
	r.writing = false
	r.mu.Unlock()
	if err != nil {
		return proxy.UnknownOutcome(proxy.ConnectionFailure, "write to the instance: %v", err)
	}
	return nil
}

// confirm answers a confirmFrame. It pauses forwardAnswers, since the confirmation uses
// the same connection.
func (r *relay) confirm() error {
	r.pause()
	defer r.resume()
	answer := confirmation{Valid: r.confirmationValidity}
	var err error
	answer.Bookmark, err = r.acquired.ConfirmFor(r.frameStream.stream.Context(), r.confirmationValidity)
	if err != nil {
		return r.frameStream.refuse(err)
	}
	return r.frameStream.send(confirmedFrame, &answer)
}

// cancelTimeout limits a cancel request.
const cancelTimeout = 3 * time.Second

func (r *relay) cancel() {
	defer r.cancelling.Store(false)
	ctx, cancel := context.WithTimeout(r.frameStream.stream.Context(), cancelTimeout)
	defer cancel()
	// The statement's answer shows the peer whether the statement was cancelled.
	_ = r.acquired.Cancel(ctx)
}

// release ends forwardAnswers and releases the connection.
func (r *relay) release(state proxy.ReleaseState) {
	r.pause()
	r.mu.Lock()
	r.ended = true
	state.Broken = state.Broken || r.failed
	r.cond.Broadcast()
	r.mu.Unlock()
	r.running.Wait()
	_ = r.instanceConn.SetDeadline(time.Time{})
	r.acquired.Release(state)
}

// pause makes forwardAnswers park and waits until it does not read.
func (r *relay) pause() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paused = true
	if r.parked {
		return
	}
	_ = r.instanceConn.SetReadDeadline(pastDeadline)
	for !r.parked {
		r.cond.Wait()
	}
	_ = r.instanceConn.SetReadDeadline(time.Time{})
}

func (r *relay) resume() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paused = false
	r.cond.Broadcast()
}
