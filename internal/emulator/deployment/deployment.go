// Package deployment emulates the platform that entry hosts run on: the metadata
// store, the promote call, which makes an instance the primary of its group, and
// database groups whose instances speak the line protocol. All servers listen on
// loopback.
package deployment

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Deployment is an emulated platform with its database groups.
type Deployment struct {
	Store *Store
	// StoreAddress and PromotionAddress are the addresses that hosts call.
	StoreAddress     string
	PromotionAddress string
	Groups           []*Group
	// Promotions counts the accepted promote calls.
	Promotions atomic.Int64

	mu     sync.Mutex
	tokens []uint64
}

// Tokens returns the fencing tokens of the promote calls, in the order of their arrival.
func (d *Deployment) Tokens() []uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.tokens)
}

// Start starts the store, the promote call and the groups. Each group has three
// instances, spread over the zones, whose replicas apply commits after lag and which
// accept the given number of connections each. The returned function stops everything.
func Start(groups, zones []string, lag time.Duration, maxConnections int) (*Deployment, func(), error) {
	d := &Deployment{Store: NewStore()}
	var closers []func()
	stop := func() {
		for _, closer := range closers {
			closer()
		}
	}
	var err error
	if d.StoreAddress, err = serveHTTP(d.Store.Handler(), &closers); err == nil {
		d.PromotionAddress, err = serveHTTP(http.HandlerFunc(d.promote), &closers)
	}
	for n, name := range groups {
		if err == nil {
			err = d.startGroup(n, name, zones, lag, maxConnections, &closers)
		}
	}
	if err != nil {
		stop()
		return nil, nil, err
	}
	return d, stop, nil
}

func serveHTTP(handler http.Handler, closers *[]func()) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	*closers = append(*closers, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

func (d *Deployment) startGroup(
	number int, name string, zones []string, lag time.Duration, maxConnections int, closers *[]func(),
) error {
	g := &Group{Name: name, Lag: lag, MaxConnections: maxConnections, store: d.Store, received: make(chan struct{})}
	for n := range 3 {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		i := &Instance{
			ID: fmt.Sprintf("i-%d%d", number, n), Zone: zones[n%len(zones)], Address: listener.Addr().String(),
			group: g, primary: n == 0, term: 1, startedAt: time.Now(),
			closers: make(map[*session]func()), ran: make(map[string]int),
		}
		g.instances = append(g.instances, i)
		go acceptSessions(listener, i)
		*closers = append(*closers, func() {
			_ = listener.Close()
			g.Crash(i.ID)
		})
	}
	for _, i := range g.instances {
		g.register(i)
	}
	d.Groups = append(d.Groups, g)
	return nil
}

func acceptSessions(listener net.Listener, i *Instance) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go i.serve(conn)
	}
}

// promote handles the promote call, which must name a lease holder and a fencing token that is
// a number.
func (d *Deployment) promote(w http.ResponseWriter, r *http.Request) {
	var promotion struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	token, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if json.NewDecoder(r.Body).Decode(&promotion) != nil || r.Header.Get("Lease-Holder") == "" || err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	d.mu.Lock()
	d.tokens = append(d.tokens, token)
	d.mu.Unlock()
	for _, g := range d.Groups {
		if g.Name == promotion.Service && g.promote(promotion.ID) {
			d.Promotions.Add(1)
			w.WriteHeader(http.StatusOK)
			return
		}
	}
	w.WriteHeader(http.StatusConflict)
}

// Account is a client account of the emulated configuration, which lists accounts
// under the key tenants.
type Account struct {
	Name  string   `json:"name"`
	Keys  []string `json:"api_keys"`
	Rate  float64  `json:"rate_per_s"`
	Burst float64  `json:"burst"`
}

// MaxStaleness is the maximum staleness that the routes written by Configure accept.
const MaxStaleness = 1500 * time.Millisecond

// Configure writes a configuration as the operator does. Each group has three routes,
// GROUP-strict, GROUP-bounded and GROUP-own. Each name in extraRoutes adds a route to
// the primary of the first group.
func (d *Deployment) Configure(version int, accounts []Account, extraRoutes ...string) error {
	var routes, services []map[string]any
	route := func(name, kind string, g *Group) {
		routes = append(routes, map[string]any{
			"name": name, "host": name, "path_prefix": "/", "kind": kind,
			"timeout_ms": 2000, "latency_goal_ms": 250, "priority": 1, "service": g.Name,
			"max_staleness_ms": MaxStaleness.Milliseconds(), "public": false,
		})
	}
	for _, name := range extraRoutes {
		route(name, "primary", d.Groups[0])
	}
	for _, g := range d.Groups {
		for suffix, kind := range map[string]string{
			"strict": "primary", "bounded": "bounded_staleness", "own": "read_your_writes",
		} {
			route(g.Name+"-"+suffix, kind, g)
		}
		services = append(services, map[string]any{
			"name": g.Name, "max_conns": g.MaxConnections, "sync_replicas": g.Synchronous,
			"warmup_s": g.WarmupTime.Seconds(), "warmup_per_s": g.WarmupRate,
		})
	}
	return d.Store.Put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": accounts,
		"limits": map[string]any{"tx_idle_ms": 3000},
	})
}

// Restore makes the store go on from a copy, in a new era. What the operator and the instances
// had written since is written again at once.
func (d *Deployment) Restore(c Copy) { d.Store.Restore(c, "config", "servers", evacuationKind) }

// evacuationKind is the kind of the objects that evacuate zones.
const evacuationKind = "evacuations"

// Evacuate evacuates a zone as the operator does.
func (d *Deployment) Evacuate(zone string) { d.Store.PutRaw(evacuationKind, zone, []byte("{}")) }

// TakeBack takes the evacuation of a zone back.
func (d *Deployment) TakeBack(zone string) { d.Store.Delete(evacuationKind, zone) }

// Settings returns the settings file of a host that listens on ip from firstPort on and
// reaches the store and the promote call at the given addresses. Bounds are further lines of
// the section of that name.
func Settings(name, zone, ip string, firstPort int, store, promotion string, bounds ...string) string {
	return fmt.Sprintf(`node_name = %q
zone = %q
ip = %q
port_range = [%d,%d]
[listen]
frontend = "%s:%d"
ready = "%s:%d"
[bounds]
revoke_ms = 5000
drain_ms = 7000
grace_s = 6
%s
[platform]
address = %q
[cloud_api]
address = %q
`, name, zone, ip, firstPort+2, firstPort+3, ip, firstPort, ip, firstPort+1, strings.Join(bounds, "\n"), store, promotion)
}
