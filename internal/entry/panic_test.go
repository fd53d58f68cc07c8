package entry_test

import (
	"fmt"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/auburnyoke/auburnyoke/internal/entry"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
	"github.com/auburnyoke/auburnyoke/platform"
)

// panicClock panics once when the function that is set reads it. This stands for an
// unexpected state at that point.
type panicClock struct {
	entry.BootClock
	in atomic.Pointer[string]
}

func (c *panicClock) Now() proxy.Instant {
	if in := c.in.Load(); in != nil {
		counters := make([]uintptr, 1)
		runtime.Callers(2, counters)
		frame, _ := runtime.CallersFrames(counters).Next()
		if strings.HasSuffix(frame.Function, *in) && c.in.CompareAndSwap(in, nil) {
			panic("unexpected state")
		}
	}
	return c.BootClock.Now()
}

func (c *panicClock) panicIn(function string) { c.in.Store(&function) }

// Guards against an unexpected state in one session that ends the process, and against
// connections to instances that stay acquired after it: there are more panics here than
// an instance accepts connections.
func TestPanicEndsItsSessionOnly(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := start(t, 0)
	clock := &panicClock{}
	w.clock = clock
	w.startHost("host-0", "gondar")
	w.await(w.hosts[0], "ledger-strict", "READ warm")
	w.awaitAllowance(w.hosts[0])
	other := w.session(0, "ledger-strict")
	panicked := w.metrics[0].Registry.Get("sessions.panicked").(metrics.Counter)
	for n := range 10 {
		for _, test := range []struct {
			function string
			queries  []string
			want     string
		}{
			{"(*session).run", []string{"SET a b", "READ a"}, "connection lost"},
			{"(*Host).send", []string{"WRITE a b"}, "ERROR INDOUBT"}, // the tries count before the statement is sent
			{"(*Host).recordAnswer", []string{"WRITE a b"}, "ERROR INDOUBT"},
			{"(*session).tryBegin", []string{"BEGIN", "READ a"}, "ERROR ABORTED"},
			{"(*session).forward", []string{"BEGIN", "WRITE a b"}, "ERROR INDOUBT"},
		} {
			before := panicked.Count()
			c := w.session(0, "ledger-strict")
			clock.panicIn(test.function)
			answer := ""
			for _, query := range test.queries {
				answer = c.queryAs(fmt.Sprintf("panic-%d", n), query)
			}
			if !strings.HasPrefix(answer, test.want) {
				t.Fatalf("%s: answer %q, want %q", test.function, answer, test.want)
			}
			is.Equal(panicked.Count(), before+1)
			is.True(strings.HasPrefix(other.query("WRITE a b"), "COMPLETE i-"))
		}
	}
}

// Guards against content of one object or one answer of an instance that ends the
// process because a decoder does not expect it.
func TestPanicOfADecoderIsAnError(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := start(t, 0)
	decoders := platform.Decoders()
	decode := decoders.Instance
	decoders.Instance = func(name string, spec []byte) (directory.Instance, error) {
		if name == "odd" {
			panic("unexpected content")
		}
		return decode(name, spec)
	}
	w.decoders = &decoders
	w.Store.PutRaw("servers", "odd", []byte(`{}`))
	w.startHost("host-0", "gondar")
	w.await(w.hosts[0], "ledger-strict", "WRITE a b")
	is.Equal(w.metrics[0].Registry.Get("records.rejected").(metrics.Counter).Count(), int64(1))
}
