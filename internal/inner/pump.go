package inner

import (
	"errors"
	"os"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// pump sends the instance's bytes to the front while answers are outstanding.
func (r *relay) pump() {
	defer r.pumping.Done()
	defer r.park()
	pooled := r.buffers.Get().(*[chunkSize]byte)
	defer r.buffers.Put(pooled)
	buffer := pooled[:]
	f := frame{kind: dataFrame}
	for r.wait() {
		n, err := r.conn.Read(buffer)
		if n > 0 {
			f.payload = buffer[:n]
			if r.channel.sendFrame(&f) != nil {
				r.fail()
				return
			}
		}
		if err != nil && !r.interrupted(err) {
			r.fail()
			_ = r.channel.refuse(proxy.Doubt(proxy.ConnectionFailure, "read from the instance: %v", err))
			return
		}
	}
}

// wait parks the pump until there is something to read and returns false when
// the pump must end.
func (r *relay) wait() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.ended && (r.held || !r.writing && r.quiet()) {
		r.parked = true
		r.cond.Broadcast()
		r.cond.Wait()
	}
	r.parked = r.ended
	return !r.ended
}

// quiet reports that the instance owes no answer. Connections that do not tell
// are read all the time.
func (r *relay) quiet() bool {
	q, ok := r.conn.(quieter)
	return ok && q.AllAnswered()
}

// interrupted reports that hold has stopped a read.
func (r *relay) interrupted(err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held && errors.Is(err, os.ErrDeadlineExceeded)
}

func (r *relay) park() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parked = true
	r.cond.Broadcast()
}

func (r *relay) fail() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = true
}
