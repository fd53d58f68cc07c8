package entry_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/internal/emulator/deployment"
	"github.com/auburnyoke/auburnyoke/internal/entry"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/failover"
)

// Guards against an instance that gets requests after its drain time, since a host forgets how
// long it has been leaving (review, case 8): when its entry changes, as at a promotion, when the
// entry comes back after a gap, or when the host restarts.
func TestLeavingInstanceThatIsPromotedAgain(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ lapsed, restarted bool }{{}, {lapsed: true}, {restarted: true}} {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const drain, perHost = 4 * time.Second, 8
			var stays atomic.Value // the primary that the store does not let the hosts replace
			stays.Store("none")
			w := startAdjusted(t, 2, perHost, func(*deployment.Group) {}, func(s *entry.Settings) {
				s.Drain, s.Store = drain, startRefusingStore(t, s.Store, func(r *http.Request, body string) bool {
					return r.Method == http.MethodPut && strings.Contains(body, stays.Load().(string)) &&
						strings.Contains(body, string(failover.Replacing))
				})
			})
			g := w.Groups[0]
			leaving := g.Primary()
			g.Drain(leaving)
			w.awaitPrimary(func(id string) bool { return id != "" && id != leaving })
			stays.Store(leaving)
			time.Sleep(drain)

			seen := &arrivals{}
			w.ObserveArrivals(seen.add)
			stop := make(chan struct{})
			defer close(stop)
			for _, h := range w.hosts {
				go readUntil(stop, h)
			}
			for _, id := range g.Instances() {
				if id != leaving {
					g.Crash(id)
				}
			}
			w.awaitLeadership(`"primary":"` + leaving + `","phase":"settled"`)
			if test.lapsed {
				g.Lapse(leaving)
				time.Sleep(drain) // the hosts remove the instance meanwhile
			}
			if test.restarted {
				w.restartHost("host-z", "gondar")
				go readUntil(stop, w.hosts[2])
			}
			for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				g.Refresh(leaving)
			}
			is.Equal(seen.at(leaving, time.Time{}), 0)
		})
	}
}

// startRefusingStore serves as a store that refuses some requests and passes the others on to
// the one at address. It returns its own address.
func startRefusingStore(t *testing.T, address string, refuse func(r *http.Request, body string) bool) string {
	t.Helper()
	forward := forwardTo(address)
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || refuse(r, string(body)) {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		forward.ServeHTTP(rw, r)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// awaitPrimary waits until the primary of the first group, empty for none, fits.
func (w *testDeployment) awaitPrimary(fits func(id string) bool) {
	w.t.Helper()
	for end := time.Now().Add(waitTimeout); !fits(w.Groups[0].Primary()); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatalf("primary is %q", w.Groups[0].Primary())
		}
	}
}

// readUntil reads from the primary through a host until stop is closed.
func readUntil(stop <-chan struct{}, host entry.Settings) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		if c, hello := dial(host, "ledger-strict", "key-clerks"); c != nil {
			if hello == "READY I -" {
				c.query("READ item")
			}
			c.close()
		}
	}
}
