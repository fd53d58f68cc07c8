package experiment

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/logx"

	"github.com/auburnyoke/auburnyoke/internal/emulator/authority"
	"github.com/auburnyoke/auburnyoke/internal/emulator/instance"
	"github.com/auburnyoke/auburnyoke/internal/emulator/platform"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/environment"
)

// instanceUser is the user as which hosts connect to the instances.
const instanceUser = "auburnyoke"

// startTimeout limits the time until every host has applied the document.
const startTimeout = 30 * time.Second

// installation is an emulated platform with emulated instances, and the entry hosts.
type installation struct {
	options          Options
	document         *proxy.Document
	documentText     []byte
	directory        string
	rootCAs          *x509.CertPool
	platform         *platform.Server
	address          string // of the platform
	hosts            []*host
	lastTriedPort    int // the last port that freeAddress tried
	instances        map[proxy.InstanceID]*emulatedInstance
	connectionCounts connectionCounts
	invariants       atomic.Int64
	// stuck lists the hosts that did not stop within stopTimeout.
	stuck      []proxy.HostID
	goroutines sync.WaitGroup
	cleanUps   []func()
}

// emulatedInstance is a running database instance and its group.
type emulatedInstance struct {
	*instance.Instance
	group  proxy.GroupID
	close  func()
	killed bool
}

// start starts the installation and returns when every host has applied the document.
// The caller must call close, also after an error.
func (n *installation) start(ctx context.Context) error {
	logx.Disable()
	var err error
	if n.document, err = environment.Decode(n.options.Document); err != nil {
		return fmt.Errorf("decode example document: %w", err)
	}
	for _, step := range []func(context.Context) error{
		n.startPlatform, n.startInstances, n.startHosts, n.applyDocument,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// close stops everything in reverse order of the start. It may be called repeatedly.
func (n *installation) close() {
	for i := len(n.cleanUps) - 1; i >= 0; i-- {
		n.cleanUps[i]()
	}
	n.cleanUps = nil
	if len(n.stuck) == 0 {
		n.goroutines.Wait()
	}
}

func (n *installation) onClose(f func()) { n.cleanUps = append(n.cleanUps, f) }

func (n *installation) startGoroutine(f func()) {
	n.goroutines.Add(1)
	go func() {
		defer n.goroutines.Done()
		f()
	}()
}

func (n *installation) startPlatform(context.Context) error {
	n.platform = platform.NewServer()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for the platform: %w", err)
	}
	mux := http.NewServeMux()
	for _, route := range n.platform.Routes() {
		mux.HandleFunc(route.Method+" "+route.Path, route.Handler)
	}
	server := &http.Server{Handler: mux}
	n.startGoroutine(func() { _ = server.Serve(listener) })
	n.onClose(func() { _ = server.Close() })
	n.address = "http://" + listener.Addr().String()
	return nil
}

// startInstances starts the instances of all groups and writes their addresses into
// the document.
func (n *installation) startInstances(context.Context) error {
	n.instances = make(map[proxy.InstanceID]*emulatedInstance)
	var replacements []string
	for _, group := range n.document.Groups {
		var source string
		for _, inst := range group.Instances {
			e, err := n.startInstance(group, inst, source)
			if err != nil {
				return err
			}
			if inst.Primary {
				source = e.ControlAddress()
			}
			replacements = append(replacements, "address: "+inst.Address+"\n", "address: "+e.Address()+"\n")
		}
	}
	n.documentText = []byte(strings.NewReplacer(replacements...).Replace(string(n.options.Document)))
	document, err := environment.Decode(n.documentText)
	if err != nil {
		return fmt.Errorf("decode document with replaced addresses: %w", err)
	}
	n.document = document
	return nil
}

func (n *installation) startInstance(group proxy.Group, inst proxy.Instance, source string) (*emulatedInstance, error) {
	if inst.Primary != (source == "") {
		return nil, eris.Errorf("group %s: the primary must be listed first", group.ID)
	}
	i, cleanUp, err := instance.New(instance.Options{
		Name: string(inst.ID), Source: source, Replica: !inst.Primary, Rebuild: true, User: instanceUser,
		Faults: instance.Faults{
			Lag: n.options.lag(), Cost: instance.DefaultCost, Slots: group.Slots, Connections: group.Connections,
		},
		Log: n.options.Log,
	})
	if err != nil {
		return nil, fmt.Errorf("instance %s: %w", inst.ID, err)
	}
	e := &emulatedInstance{Instance: i, group: group.ID, close: cleanUp}
	n.instances[inst.ID] = e
	n.onClose(cleanUp)
	n.startGoroutine(func() { _ = i.Run(context.Background()) })
	return e, nil
}

// startHosts issues certificates, registers the hosts with the platform and starts
// them.
func (n *installation) startHosts(ctx context.Context) error {
	directory, err := os.MkdirTemp("", "experiment")
	if err != nil {
		return fmt.Errorf("create directory of certificates: %w", err)
	}
	n.directory = directory
	n.onClose(func() { _ = os.RemoveAll(directory) })
	names := []string{"clients"}
	for i := range n.options.Hosts {
		names = append(names, string(hostID(i)))
	}
	issuer, err := authority.New("experiment", time.Now())
	if err != nil {
		return fmt.Errorf("create authority: %w", err)
	}
	if err := issuer.Write(directory, names...); err != nil {
		return fmt.Errorf("write certificates: %w", err)
	}
	n.rootCAs = x509.NewCertPool()
	n.rootCAs.AppendCertsFromPEM(issuer.Certificate())
	zones := zonesOf(n.document)
	for i := range n.options.Hosts {
		if err := n.startHost(ctx, hostID(i), zones[i%len(zones)]); err != nil {
			return fmt.Errorf("host %s: %w", hostID(i), err)
		}
	}
	return nil
}

func (n *installation) certificateFile(name string) string { return filepath.Join(n.directory, name) }

// clientTLS returns the clients' TLS configuration. The hosts' certificates are issued
// for loopback addresses.
func (n *installation) clientTLS() *tls.Config {
	return &tls.Config{RootCAs: n.rootCAs, ServerName: "127.0.0.1", MinVersion: tls.VersionTLS12}
}

// registerHost adds a host to the platform's list of hosts.
func (n *installation) registerHost(ctx context.Context, state proxy.HostState) error {
	value, err := json.Marshal(state)
	if err != nil {
		return fmt.Errorf("encode host: %w", err)
	}
	key := proxy.HostPrefix(n.document.Environment, proxy.Production) + proxy.Key(state.ID)
	if _, err := n.platform.Memory.Put(ctx, key, value, 0); err != nil {
		return fmt.Errorf("register host: %w", err)
	}
	return nil
}

// applyDocument submits the document as a trial, promotes it to production and waits
// until every host has applied it.
func (n *installation) applyDocument(ctx context.Context) error {
	proposal := environment.Proposal{Text: n.documentText, Author: "experiment", Time: time.Now()}
	proposal.Nonce = environment.NewNonce([environment.NonceSize]byte{1})
	if _, err := environment.Try(ctx, n.platform.Memory, proposal); err != nil {
		return fmt.Errorf("try: %w", err)
	}
	proposal.Nonce = environment.NewNonce([environment.NonceSize]byte{2})
	accepted, err := environment.Promote(ctx, n.platform.Memory, proposal)
	if err != nil {
		return fmt.Errorf("promote: %w", err)
	}
	ctx, stop := context.WithTimeout(ctx, startTimeout)
	defer stop()
	for {
		e := accepted.Envelope
		progress, err := environment.ReadProgress(ctx, n.platform.Memory, e.Environment, e.Stage, e.Revision, e.Digest)
		if err == nil && progress.AllReady() && progress.Live == n.options.Hosts {
			return nil
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			return eris.Errorf("document not in force after %v: %v", startTimeout, progress)
		}
	}
}

// zonesOf returns the distinct zones of a document's instances in order of appearance.
func zonesOf(document *proxy.Document) []proxy.Zone {
	var zones []proxy.Zone
	seen := make(map[proxy.Zone]bool)
	for _, group := range document.Groups {
		for _, inst := range group.Instances {
			if !seen[inst.Zone] {
				seen[inst.Zone] = true
				zones = append(zones, inst.Zone)
			}
		}
	}
	return zones
}
