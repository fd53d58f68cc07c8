// Package deployment emulates the platform that entry hosts run on: the metadata
// store, the promote call, and database groups whose instances speak the line
// protocol. Everything listens on loopback.
package deployment

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Deployment is an emulated platform with its groups.
type Deployment struct {
	Store *Store
	// StoreAddress and OrdersAddress are where hosts call.
	StoreAddress  string
	OrdersAddress string
	Groups        []*Group
	// Promotions counts the accepted promote calls.
	Promotions atomic.Int64
}

// Start starts the store and groups with three instances each in zones, and
// returns a function that stops everything.
func Start(groups, zones []string, lag time.Duration, connections int) (*Deployment, func(), error) {
	d := &Deployment{Store: NewStore()}
	var closers []func()
	stop := func() {
		for _, closer := range closers {
			closer()
		}
	}
	var err error
	if d.StoreAddress, err = serveHTTP(d.Store.Handler(), &closers); err == nil {
		d.OrdersAddress, err = serveHTTP(http.HandlerFunc(d.promote), &closers)
	}
	for n, name := range groups {
		if err == nil {
			err = d.startGroup(n, name, zones, lag, connections, &closers)
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
	number int, name string, zones []string, lag time.Duration, connections int, closers *[]func(),
) error {
	g := &Group{Name: name, Lag: lag, Connections: connections, store: d.Store}
	for n := range 3 {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		i := &Instance{
			ID: fmt.Sprintf("i-%d%d", number, n), Zone: zones[n%len(zones)], Address: listener.Addr().String(),
			group: g, primary: n == 0, term: 1, born: time.Now(), closers: make(map[*session]func()), ran: make(map[string]int),
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

func (d *Deployment) promote(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil || r.Header.Get("Lease-Holder") == "" || r.Header.Get("Fencing-Token") == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, g := range d.Groups {
		if g.Name == order.Service && g.promote(order.ID) {
			d.Promotions.Add(1)
			w.WriteHeader(http.StatusOK)
			return
		}
	}
	w.WriteHeader(http.StatusConflict)
}

// Tenant is a client account of the emulated configuration.
type Tenant struct {
	Name  string   `json:"name"`
	Keys  []string `json:"api_keys"`
	Rate  float64  `json:"rate_per_s"`
	Burst float64  `json:"burst"`
}

// Staleness is the age that the routes of Configure accept.
const Staleness = 1500 * time.Millisecond

// Configure writes a configuration with three routes for each group, named
// GROUP-strict, GROUP-bounded and GROUP-own, as the operator does. Extra databases
// are routes to the first group.
func (d *Deployment) Configure(version int, tenants []Tenant, extra ...string) error {
	var routes, services []map[string]any
	route := func(name, kind string, g *Group) {
		routes = append(routes, map[string]any{
			"name": name, "host": name, "path_prefix": "/", "kind": kind,
			"timeout_ms": 2000, "latency_goal_ms": 250, "priority": 1, "service": g.Name,
			"max_staleness_ms": Staleness.Milliseconds(), "public": false,
		})
	}
	for _, name := range extra {
		route(name, "primary", d.Groups[0])
	}
	for _, g := range d.Groups {
		for suffix, kind := range map[string]string{
			"strict": "primary", "bounded": "bounded_staleness", "own": "read_your_writes",
		} {
			route(g.Name+"-"+suffix, kind, g)
		}
		services = append(services, map[string]any{"name": g.Name, "max_conns": g.Connections, "sync_replicas": 0})
	}
	return d.Store.Put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"tx_idle_ms": 3000},
	})
}

// Settings is the settings file of a host: its name, availability zone, address
// and the platform's addresses as it reaches them.
func Settings(name, zone, ip string, firstPort int, store, orders string) string {
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
[platform]
address = %q
[cloud_api]
address = %q
`, name, zone, ip, firstPort+2, firstPort+2, ip, firstPort, ip, firstPort+1, store, orders)
}
