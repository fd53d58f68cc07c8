package entry

import (
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/auburnyoke/auburnyoke/internal/containment"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
)

// sharedCode lists the code that changes state which sessions share.
var sharedCode = []string{
	"github.com/auburnyoke/auburnyoke/pkg/proxy/dispatch.",
	"github.com/auburnyoke/auburnyoke/pkg/proxy/balance.",
	"github.com/auburnyoke/auburnyoke/pkg/proxy/allowance.",
	"github.com/auburnyoke/auburnyoke/pkg/proxy/evacuation.",
	"github.com/auburnyoke/auburnyoke/pkg/proxy/freshness.",
	"github.com/auburnyoke/auburnyoke/pkg/proxy/warmup.",
	"github.com/auburnyoke/auburnyoke/internal/peering.",
	"github.com/auburnyoke/auburnyoke/internal/entry.(*clusterState).",
	"github.com/auburnyoke/auburnyoke/internal/entry.(*mirror).",
	"github.com/auburnyoke/auburnyoke/internal/entry.(*rejectedRecords).",
	"github.com/auburnyoke/auburnyoke/internal/entry.(*sessionSet).",
}

// contain calls the work of a session. After a contained panic it calls end, if that is
// not nil, to release what the session holds.
func (h *Host) contain(s *session, work, end func()) {
	guard := containment.Guard{Shared: sharedCode, OnPanic: func(value any, stack []byte) {
		h.Metrics.sessionsPanicked.Inc(1)
		h.Log.Error().Uint64("session", s.id).Str("request", string(s.trace.request)).Any("panic", value).
			Bytes("stack", stack).Msg("session ended by a panic")
		if end != nil {
			end()
		}
	}}
	guard.Run(work)
}

// endAfterPanic releases what the session holds after a panic. A client whose statement
// may have run is told that its outcome is not known.
func (s *session) endAfterPanic() {
	if t := s.transaction; t != nil {
		if t.openingStarted {
			<-t.opened
		}
		s.host.endPrimaryOperation(t)
		if t.connection != nil {
			t.connection.Release()
		}
		s.transaction = nil
	}
	if s.serving && s.trace.tries > 0 {
		// An error means that the client is gone.
		_ = s.clientConn.Reply(s.fail(proxy.InDoubt, "host failed while it ran the statement"))
	}
}

// contained returns decoders whose panics are errors.
func (d Decoders) contained() Decoders {
	contained := d
	contained.Configuration = func(spec []byte) (c *directory.Configuration, err error) {
		err = containment.Call(func() (err error) { c, err = d.Configuration(spec); return err })
		return c, err
	}
	contained.Instance = func(name string, spec []byte) (i directory.Instance, err error) {
		err = containment.Call(func() (err error) { i, err = d.Instance(name, spec); return err })
		return i, err
	}
	contained.ReplicationStatus = func(row string) (r proxy.ReplicationStatus, err error) {
		err = containment.Call(func() (err error) { r, err = d.ReplicationStatus(row); return err })
		return r, err
	}
	return contained
}

// containedDialer is a dialer whose panics are errors: what it decodes comes from
// instances.
type containedDialer struct{ proxy.Dialer }

// Dial implements proxy.Dialer.
func (d containedDialer) Dial(
	timeout time.Duration, target proxy.Target,
) (c proxy.Connection, position *proxy.Bookmark, err error) {
	err = containment.Call(func() (err error) { c, position, err = d.Dialer.Dial(timeout, target); return err })
	if err != nil {
		return nil, nil, err
	}
	return containedConnection{c}, position, nil
}

// DialDeferred implements proxy.Dialer.
func (d containedDialer) DialDeferred(timeout time.Duration, target proxy.Target) (c proxy.Connection, err error) {
	err = containment.Call(func() (err error) { c, err = d.Dialer.DialDeferred(timeout, target); return err })
	if err != nil {
		return nil, err
	}
	return containedConnection{c}, nil
}

// containedConnection is a connection whose panics are errors.
type containedConnection struct{ proxy.Connection }

// Exchange implements proxy.Connection.
func (c containedConnection) Exchange(timeout time.Duration, commands ...proxy.Command) (a []proxy.Answer, err error) {
	err = containment.Call(func() (err error) { a, err = c.Connection.Exchange(timeout, commands...); return err })
	return a, err
}

// endOnPanic returns a handler whose panic ends the process. Without it, the HTTP server
// would recover the panic and leave locks of shared state locked.
func endOnPanic(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if value := recover(); value != nil {
				os.Stderr.Write(append([]byte("panic in a request of another host\n"), debug.Stack()...))
				os.Exit(exitCodePanic)
			}
		}()
		handler(w, r)
	}
}

// exitCodePanic is the exit code of a Go process that a panic ends.
const exitCodePanic = 2
