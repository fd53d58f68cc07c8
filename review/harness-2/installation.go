package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
}

// installation is an emulated deployment with its hosts, each behind links of its own to
// the store and to the API for promotions.
type installation struct {
	directory  string
	record     *record
	deployment *exec.Cmd
	commands   io.WriteCloser
	hosts      []*host
	processes  []*exec.Cmd
	// promotions is the address of the API for promotions.
	promotions string
}

type host struct {
	name, zone    string
	settings      string
	client, ready string
	store, cloud  *link
	process       *exec.Cmd
}

// cut cuts a host off the platform.
func (h *host) cut() { h.store.cut(); h.cloud.cut() }

func (h *host) heal() { h.store.heal(); h.cloud.heal() }

// freePort returns the first of some ports that are free on the hosts' addresses.
func freePort() int {
	for port := 21000; port < 60000; port += 100 {
		free := true
		for n := 0; n < 100 && free; n++ {
			listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.%d:%d", n/10+1, port+n))
			if err != nil {
				free = false
				continue
			}
			_ = listener.Close()
		}
		if free {
			return port
		}
	}
	return 0
}

var (
	addressLine  = regexp.MustCompile(`(?m)^address = "(.*)"$`)
	frontendLine = regexp.MustCompile(`(?m)^frontend = "(.*)"$`)
	zoneLine     = regexp.MustCompile(`(?m)^zone = "(.*)"$`)
	readyLine    = regexp.MustCompile(`(?m)^ready = "(.*)"$`)
)

// options describe an installation. The functions may be nil.
type options struct {
	hosts int
	// zones are the availability zones of the hosts; nil for those of the deployment.
	zones []string
	// prepare is called with the store's address before the hosts are started.
	prepare func(store string) error
	// storeSent and cloudSent see what a host sends to the store and to the API for
	// promotions. The function storeAnswered returns what a host receives of an answer of
	// the store.
	storeSent, cloudSent func(h *host, data []byte)
	storeAnswered        func(h *host, data []byte) []byte
	// promoteCalled sees a call that the API has received, promoteAnswered its status.
	promoteCalled   func(promoteCall)
	promoteAnswered func(promoteCall, int)
}

// of returns a hook for the links of a host.
func of(h *host, f func(*host, []byte)) func([]byte) {
	if f == nil {
		return nil
	}
	return func(data []byte) { f(h, data) }
}

// start starts the deployment and the hosts, and waits until they are ready.
func (in *installation) start(o options) error {
	var err error
	if in.directory, err = os.MkdirTemp("", "review-case-"); err != nil {
		return err
	}
	port := freePort()
	in.deployment = exec.Command("target/emulated-deployment",
		"--directory", in.directory, "--hosts", fmt.Sprint(o.hosts), "--port", fmt.Sprint(port))
	if in.commands, err = in.deployment.StdinPipe(); err != nil {
		return err
	}
	if err = in.run(in.deployment, "deployment"); err != nil {
		return err
	}
	for n := range o.hosts {
		if err := in.prepareHost(n, o); err != nil {
			return err
		}
	}
	for _, h := range in.hosts {
		if err := in.startHost(h); err != nil {
			return err
		}
	}
	for _, h := range in.hosts {
		if !awaitReady(h, 20*time.Second) {
			return fmt.Errorf("%s is not ready", h.name)
		}
	}
	return nil
}

// prepareHost opens the links of a host and writes its settings.
func (in *installation) prepareHost(n int, o options) error {
	h := &host{name: fmt.Sprintf("host-%d", n+1)}
	h.settings = filepath.Join(in.directory, h.name+".toml")
	text, err := awaitFile(h.settings)
	if err != nil {
		return err
	}
	found := addressLine.FindAllStringSubmatch(text, -1)
	if len(found) != 2 {
		return errors.New("settings without the platform's addresses")
	}
	store, cloud := found[0][1], found[1][1]
	if n == 0 && o.prepare != nil {
		if err := o.prepare(store); err != nil {
			return err
		}
	}
	hooks := linkHooks{sent: of(h, o.storeSent)}
	if o.storeAnswered != nil {
		hooks.answered = func(data []byte) []byte { return o.storeAnswered(h, data) }
	}
	if h.store, err = newLink(store, hooks); err != nil {
		return err
	}
	if in.promotions == "" {
		if in.promotions, err = servePromotions(cloud, o.promoteCalled, o.promoteAnswered); err != nil {
			return err
		}
	}
	if h.cloud, err = newLink(in.promotions, linkHooks{sent: of(h, o.cloudSent)}); err != nil {
		return err
	}
	text = strings.Replace(text, `address = "`+store, `address = "`+h.store.address(), 1)
	text = strings.Replace(text, `address = "`+cloud, `address = "`+h.cloud.address(), 1)
	h.zone = zoneLine.FindStringSubmatch(text)[1]
	if o.zones != nil {
		text = strings.Replace(text, `zone = "`+h.zone, `zone = "`+o.zones[n], 1)
		h.zone = o.zones[n]
	}
	h.client = frontendLine.FindStringSubmatch(text)[1]
	h.ready = readyLine.FindStringSubmatch(text)[1]
	in.hosts = append(in.hosts, h)
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

func (in *installation) startHost(h *host) error {
	h.process = exec.Command("target/auburnyoke-entry")
	h.process.Env = append(os.Environ(), "AUBURNYOKE_BOOT="+h.settings)
	return in.run(h.process, h.name)
}

func (in *installation) run(c *exec.Cmd, name string) error {
	log, err := os.OpenFile(filepath.Join(in.directory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	in.processes = append(in.processes, c)
	return nil
}

// command sends a command to the emulated deployment.
func (in *installation) command(text string) {
	in.record.printf("operator: %s", text)
	_, _ = io.WriteString(in.commands, text+"\n")
}

// stop ends all processes. It copies the hosts' lines about replacements to the record.
func (in *installation) stop() {
	for _, p := range in.processes {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	for _, h := range in.hosts {
		file, err := os.Open(filepath.Join(in.directory, h.name+".log"))
		if err != nil {
			continue
		}
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			if strings.Contains(lines.Text(), "romotion") || strings.Contains(lines.Text(), "replacement") ||
				strings.Contains(lines.Text(), "leadership changed") {
				in.record.printf("log of %s: %s", h.name, lines.Text())
			}
		}
		_ = file.Close()
	}
	_ = os.RemoveAll(in.directory)
}

func awaitFile(path string) (string, error) {
	for range 200 {
		if data, err := os.ReadFile(path); err == nil && strings.Count(string(data), "address = ") == 2 {
			return string(data), nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return "", fmt.Errorf("%s was not written", path)
}

func awaitReady(h *host, timeout time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		response, err := client.Get("http://" + h.ready + "/-/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
