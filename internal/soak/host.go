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

// MaxHosts is the number of hosts that fit into the address range of one run.
const MaxHosts = 250

// firstPort is the first of a host's ports. It is the same for all hosts, since each
// has its own address.
const firstPort = 7560

// host is an entry host that runs as a separate process.
type host struct {
	number int
	name   string
	binary string
	// settings and log are paths of files.
	settings, log string
	// The relays stand between the host and its clients, the store and the promote call.
	clientRelay, storeRelay, promotionRelay *Relay

	mu      sync.Mutex
	command *exec.Cmd
	// exited is closed once the process has exited, and before the first start.
	exited chan struct{}
	// incarnation is the number of starts.
	incarnation int
}

// newHost prepares a host and returns a function that stops the host and its relays.
func newHost(o Options, d *deployment.Deployment, number int, zone string) (*host, func(), error) {
	h := &host{number: number, name: fmt.Sprintf("host-%d", number), binary: o.Binary, exited: make(chan struct{})}
	close(h.exited)
	h.settings = filepath.Join(o.Directory, h.name+".toml")
	h.log = filepath.Join(o.Directory, h.name+".log")
	// Concurrent runs get different addresses, since their process ids differ.
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
		{&h.clientRelay, fmt.Sprintf("%s:%d", ip, firstPort)},
		{&h.storeRelay, d.StoreAddress},
		{&h.promotionRelay, d.PromotionAddress},
	} {
		r, stopRelay, err := StartRelay("127.0.0.1:0", each.target)
		if err != nil {
			stop()
			return nil, nil, fmt.Errorf("relay to %s: %w", each.target, err)
		}
		*each.relay = r
		stops = append(stops, stopRelay)
	}
	text := deployment.Settings(h.name, zone, ip, firstPort, h.storeRelay.Address(), h.promotionRelay.Address(), o.bounds()...)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		stop()
		return nil, nil, fmt.Errorf("write settings: %w", err)
	}
	return h, stop, nil
}

// start starts the process unless it is running.
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
	exited := make(chan struct{})
	h.command, h.exited = command, exited
	h.incarnation++
	go func() {
		// An error is expected, since hosts are killed.
		_ = command.Wait()
		h.mu.Lock()
		h.command = nil
		h.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process if it runs.
func (h *host) signal(s os.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command != nil {
		// Signal fails if the process has just exited.
		_ = h.command.Process.Signal(s)
	}
}

// kill kills the process and waits until it has exited.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.exitedChannel()
}

// stop stops the process gracefully and kills it if it is still running after
// gracePeriod.
func (h *host) stop() {
	h.signal(syscall.SIGTERM)
	select {
	case <-h.exitedChannel():
	case <-time.After(gracePeriod):
		h.kill()
	}
}

// exitedChannel returns a channel that is closed once the process has exited, or if
// it was never started.
func (h *host) exitedChannel() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.exited
}

// runningIncarnation returns the incarnation of the running process, or zero if none
// is running.
func (h *host) runningIncarnation() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command == nil {
		return 0
	}
	return h.incarnation
}
