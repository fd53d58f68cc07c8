package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/auburnyoke/auburnyoke/internal/emulator/deployment"
)

// MaxHosts is the number of hosts that have an address of their own each.
const MaxHosts = 250

// firstPort is the first of a host's ports. Each host has an address of its own.
const firstPort = 7560

// host is an entry host that runs as a process of its own.
type host struct {
	number int
	name   string
	binary string
	// settings and log are files.
	settings, log string
	// callers, store and orders are the relays around the host.
	callers, store, orders *Relay

	mu      sync.Mutex
	command *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
	// incarnation counts the starts.
	incarnation int
}

// newHost prepares a host and returns a function that ends it and its relays.
func newHost(o Options, d *deployment.Deployment, number int, zone string) (*host, func(), error) {
	h := &host{number: number, name: fmt.Sprintf("host-%d", number), binary: o.Binary, ended: make(chan struct{})}
	close(h.ended)
	h.settings = filepath.Join(o.Directory, h.name+".toml")
	h.log = filepath.Join(o.Directory, h.name+".log")
	// Runs at the same time differ in the process id.
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+os.Getpid()/250%250, number+1)
	var stops []func()
	stop := func() {
		h.kill()
		for _, s := range stops {
			s()
		}
	}
	for _, each := range []struct {
		relay  **Relay
		target string
	}{
		{&h.callers, fmt.Sprintf("%s:%d", ip, firstPort)},
		{&h.store, d.StoreAddress},
		{&h.orders, d.OrdersAddress},
	} {
		r, stopRelay, err := StartRelay("127.0.0.1:0", each.target)
		if err != nil {
			stop()
			return nil, nil, fmt.Errorf("relay to %s: %w", each.target, err)
		}
		*each.relay = r
		stops = append(stops, stopRelay)
	}
	text := deployment.Settings(h.name, zone, ip, firstPort, h.store.Address(), h.orders.Address())
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		stop()
		return nil, nil, fmt.Errorf("write settings: %w", err)
	}
	return h, stop, nil
}

// start starts the process, unless it runs.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command != nil {
		return nil
	}
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(h.binary, "--settings", h.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return fmt.Errorf("start host: %w", err)
	}
	ended := make(chan struct{})
	h.command, h.ended = command, ended
	h.incarnation++
	go func() {
		// Hosts are killed, so that an error says nothing.
		_ = command.Wait()
		h.mu.Lock()
		h.command = nil
		h.mu.Unlock()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process if it runs.
func (h *host) signal(s os.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command != nil {
		// The process may have ended just now.
		_ = h.command.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.end()
}

// stop ends the process gracefully, or kills it after the grace time.
func (h *host) stop() {
	h.signal(syscall.SIGTERM)
	select {
	case <-h.end():
	case <-time.After(graceTime):
		h.kill()
	}
}

// end returns a channel that is closed once the process has ended, or if it was
// never started.
func (h *host) end() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ended
}

// running returns the incarnation of the running process, zero for none.
func (h *host) running() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command == nil {
		return 0
	}
	return h.incarnation
}
