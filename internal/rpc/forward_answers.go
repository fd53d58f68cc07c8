package rpc

import (
	"errors"
	"os"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// forwardAnswers sends the instance's bytes to the peer while answers are outstanding. It
// runs in a goroutine of its own.
func (r *relay) forwardAnswers() {
	defer r.running.Done()
	defer r.markParked()
	pooled := r.buffers.Get().(*[dataChunkSize]byte)
	defer r.buffers.Put(pooled)
	buffer := pooled[:]
	f := frame{kind: dataFrame}
	for r.awaitReadable() {
		n, err := r.instanceConn.Read(buffer)
		if n > 0 {
			f.payload = buffer[:n]
			if r.frameStream.sendFrame(&f) != nil {
				r.markFailed()
				return
			}
		}
		if err != nil && !r.pausedRead(err) {
			r.markFailed()
			_ = r.frameStream.refuse(proxy.UnknownOutcome(proxy.ConnectionFailure, "read from the instance: %v", err))
			return
		}
	}
}

// awaitReadable parks forwardAnswers until answers may be outstanding, and returns false
// when it must end.
func (r *relay) awaitReadable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.ended && (r.paused || !r.writing && r.allAnswered()) {
		r.parked = true
		r.cond.Broadcast()
		r.cond.Wait()
	}
	r.parked = r.ended
	return !r.ended
}

// allAnswered reports whether no answer of the instance is outstanding. A connection that
// does not track this is read all the time.
func (r *relay) allAnswered() bool {
	tracker, ok := r.instanceConn.(responseTracker)
	return ok && tracker.AllAnswered()
}

// pausedRead reports whether err comes from pause, which interrupts a read.
func (r *relay) pausedRead(err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.paused && errors.Is(err, os.ErrDeadlineExceeded)
}

func (r *relay) markParked() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parked = true
	r.cond.Broadcast()
}

func (r *relay) markFailed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = true
}
