// Command review-standin plays one case of the review: it starts the project's hosts as
// processes, stands in for the platform, the instances and the clients, brings about the
// disruption unless TROUBLE is 0, and checks one rule.
//
//	review-standin CASE ROOT RECORD
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could
// not run.
package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// scene is a small deployment.
type scene struct {
	root, directory string
	trouble         bool
	record          *record
	store           *store
	groups          []*group
	hosts           []*host
	promoteAddress  string
	storeAddress    string

	mu     sync.Mutex
	broken []string
}

// violation records that the rule was broken.
func (s *scene) violation(format string, arguments ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := fmt.Sprintf(format, arguments...)
	s.broken = append(s.broken, text)
	s.record.line("BROKEN: %s", text)
}

var cases = map[string]func(*scene) error{
	"lost-draining": lostWithDrainingReplica,
	"lost-crashed":  lostWithCrashedReplica,
	"stop":          stopInTransaction,
	"line-feed":     lineFeed,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE ROOT RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func play(test func(*scene) error, root, path string) int {
	root, err := filepath.Abs(root)
	if err != nil {
		return unable(err)
	}
	r, err := newRecord(path)
	if err != nil {
		return unable(err)
	}
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return unable(err)
	}
	defer func() { _ = os.RemoveAll(directory) }()
	s := &scene{root: root, directory: directory, trouble: os.Getenv("TROUBLE") != "0", record: r, store: newStore()}
	defer s.end()
	go s.endOnSignal()
	if err := test(s); err != nil {
		r.line("the case could not run: %v", err)
		return unable(err)
	}
	if len(s.broken) > 0 {
		fmt.Printf("broken, %d times; the first: %s\n", len(s.broken), s.broken[0])
		return 1
	}
	fmt.Println("held")
	return 0
}

// longest is the time after which a case is given up.
const longest = 115 * time.Second

// endOnSignal gives the case up when it is told to end or takes too long.
func (s *scene) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(longest):
	}
	s.end()
	_ = os.RemoveAll(s.directory)
	os.Exit(2)
}

// end ends all processes that the case has started.
func (s *scene) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.hosts {
		h.kill()
	}
	s.hosts = nil
}

func unable(err error) int {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	return 2
}

// startPlatform starts the store, the promote call and a group, and writes the
// configuration.
func (s *scene) startPlatform(zones []string, syncReplicas, maxConnections int, work func(string) time.Duration) error {
	g, err := startGroup("ledger", zones, syncReplicas, maxConnections, s.store, s.record, work)
	if err != nil {
		return err
	}
	s.groups = append(s.groups, g)
	if s.storeAddress, err = serveHTTP(s.store); err != nil {
		return err
	}
	if s.promoteAddress, err = serveHTTP(promoteHandler(s.groups, s.record)); err != nil {
		return err
	}
	s.configure(syncReplicas, maxConnections)
	return nil
}

func serveHTTP(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

// configure writes a configuration with one route of each kind, with the figures of the
// users' sheet for Sárgabusz.
func (s *scene) configure(syncReplicas, maxConnections int) {
	route := func(host, kind string, timeout, goal, staleness int) map[string]any {
		r := map[string]any{
			"name": "r-" + host, "host": host, "path_prefix": "/", "kind": kind, "timeout_ms": timeout,
			"latency_goal_ms": goal, "priority": 1, "service": "ledger", "max_attempts": 2, "public": false,
		}
		if staleness > 0 {
			r["max_staleness_ms"] = staleness
		}
		return r
	}
	s.store.put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{
			route("confirm", "primary", 800, 120, 0),
			route("lookup", "bounded_staleness", 1200, 300, 1500),
			route("change", "read_your_writes", 800, 250, 2500),
		},
		"services": []any{map[string]any{
			"name": "ledger", "health_path": "/healthz", "max_conns": maxConnections, "protocol": "h1", "tls": false,
			"sync_replicas": syncReplicas,
		}},
		"limits": map[string]any{"tx_idle_ms": 3000},
		"tenants": []any{
			map[string]any{"name": "north", "api_keys": []string{"key-north"}, "priority": 1, "rate_per_s": 1000, "burst": 1000},
			map[string]any{"name": "south", "api_keys": []string{"key-south"}, "priority": 1, "rate_per_s": 1000, "burst": 1000},
		},
	})
}

var errNotReady = errors.New("hosts were not ready in time")

// startHosts starts the hosts and waits until all are ready. A host that ends before, since
// another process has taken one of its ports, is started again on other ports.
func (s *scene) startHosts(zones ...string) error {
	for n, zone := range zones {
		if err := s.startHost(n, fmt.Sprintf("frontend-%s-%d", zone, n+1), zone); err != nil {
			return err
		}
	}
	end := time.Now().Add(30 * time.Second)
	for n := 0; n < len(zones); {
		h := s.hosts[n]
		select {
		case <-h.ended:
			s.record.line("host %s has ended before it was ready: %s", h.name, h.lastLog())
			if err := s.startHost(n, h.name, zones[n]); err != nil {
				return err
			}
			continue
		default:
		}
		switch {
		case h.isReady():
			n++
		case time.Now().After(end):
			s.record.line("host %s is not ready: %s", h.name, h.lastLog())
			return errNotReady
		default:
			time.Sleep(100 * time.Millisecond)
		}
	}
	s.record.line("%d hosts are ready", len(s.hosts))
	return nil
}

// startHost starts the host with index n, in place of its earlier process if there was one.
func (s *scene) startHost(n int, name, zone string) error {
	h, err := startHost(s.root, s.directory, name, zone, s.storeAddress, s.promoteAddress)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = append(s.hosts[:n], append([]*host{h}, s.hosts[min(n+1, len(s.hosts)):]...)...)
	return nil
}
