package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// host is a process of the project, started with the command of the deploy file.
type host struct {
	name, listen, ready string
	log                 string
	command             *exec.Cmd
	ended               chan struct{}
}

// Ports are chosen below those that the kernel gives to outgoing connections.
const (
	firstPort = 20000
	lastPort  = 32000
)

// freePorts returns the first of n consecutive ports of 127.0.0.1 that are free.
func freePorts(n int) int {
	for {
		base := firstPort + rand.IntN(lastPort-firstPort)
		free := true
		for p := base; free && p < base+n; p++ {
			l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", p))
			if err != nil {
				free = false
				continue
			}
			_ = l.Close()
			u, err := net.ListenPacket("udp4", fmt.Sprintf("127.0.0.1:%d", p))
			if err != nil {
				free = false
				continue
			}
			_ = u.Close()
		}
		if free {
			return base
		}
	}
}

// startHost writes a host's settings, with the bounds of the users' sheets, and starts it
// in the root of the repository.
func startHost(root, directory, name, zone, storeAddress, promoteAddress string) (*host, error) {
	base := freePorts(8)
	address := func(n int) string { return fmt.Sprintf("127.0.0.1:%d", base+n) }
	settings := fmt.Sprintf(`node_name = %q
role = "entry"
machine_class = "frontend"
serves = ["frontend"]
ip = "127.0.0.1"
zone = %q
region = "hu-central"
port_range = [%d,%d]
seeds = []
bootstrap = true
fault_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[listen]
frontend = %q
ready = %q
[limits]
cpu_quota = 0.4
cores = 1
memory_mb = 284
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[bounds]
stable_window_ms = 4000
drain_ms = 7000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
revoke_strict = true
revoke_ms = 5000
fencing_enforced = false
[platform]
address = %q
form = "objects"
[cloud_api]
address = %q
duties = ["promotion"]
`, name, zone, base+3, base+7, address(0), address(1), storeAddress, promoteAddress)
	path := filepath.Join(directory, name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(directory, name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	h := &host{name: name, listen: address(0), ready: address(1), log: log.Name(), ended: make(chan struct{})}
	h.command = exec.Command("target/auburnyoke-entry")
	h.command.Dir = root
	h.command.Env = append(os.Environ(), "AUBURNYOKE_BOOT="+path)
	h.command.Stdout, h.command.Stderr = log, log
	if err := h.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = h.command.Wait()
		close(h.ended)
	}()
	return h, nil
}

// isReady asks the host's readiness probe.
func (h *host) isReady() bool {
	probe := http.Client{Timeout: time.Second}
	response, err := probe.Get("http://" + h.ready + "/-/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// kill ends the host.
func (h *host) kill() {
	_ = h.command.Process.Kill()
	<-h.ended
}

// lastLog returns the end of the host's log.
func (h *host) lastLog() string {
	data, err := os.ReadFile(h.log)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-400):])
}
