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

// instanceUser is the system's own user on the instances.
const instanceUser = "auburnyoke"

// startTimeout bounds the time until every host applies the document.
const startTimeout = 30 * time.Second

// installation is a running installation.
type installation struct {
	options   Options
	document  *proxy.Document
	text      []byte
	directory string
	trust     *x509.CertPool
	platform  *platform.Server
	address   string // of the platform
	hosts     []*host
	port      int // the last one that was tried for a host
	instances map[proxy.InstanceID]*emulated
	// connections are sampled during the load.
	connections connections
	invariants  atomic.Int64
	// stuck are the hosts that did not stop in time.
	stuck    []proxy.HostID
	running  sync.WaitGroup
	cleanUps []func()
}

// emulated is an emulated instance.
type emulated struct {
	*instance.Instance
	group proxy.GroupID
	close func()
	dead  bool
}

// start builds an installation and returns when the document is in force on
// every host. close releases what it holds, also after an error.
func (n *installation) start(ctx context.Context) error {
	logx.Disable()
	var err error
	if n.document, err = environment.Decode(n.options.Document); err != nil {
		return fmt.Errorf("example document: %w", err)
	}
	for _, step := range []func(context.Context) error{
		n.startPlatform, n.startInstances, n.startHosts, n.putInForce,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// close ends all parts, the last started first. It may be called again.
func (n *installation) close() {
	for i := len(n.cleanUps) - 1; i >= 0; i-- {
		n.cleanUps[i]()
	}
	n.cleanUps = nil
	if len(n.stuck) == 0 {
		n.running.Wait()
	}
}

func (n *installation) later(f func()) { n.cleanUps = append(n.cleanUps, f) }

func (n *installation) run(f func()) {
	n.running.Add(1)
	go func() {
		defer n.running.Done()
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
	n.run(func() { _ = server.Serve(listener) })
	n.later(func() { _ = server.Close() })
	n.address = "http://" + listener.Addr().String()
	return nil
}

// startInstances starts the instances of all groups and replaces their
// addresses in the document's text.
func (n *installation) startInstances(context.Context) error {
	n.instances = make(map[proxy.InstanceID]*emulated)
	var replacements []string
	for _, group := range n.document.Groups {
		var source string
		for _, one := range group.Instances {
			e, err := n.startInstance(group, one, source)
			if err != nil {
				return err
			}
			if one.Primary {
				source = e.ControlAddress()
			}
			replacements = append(replacements, "address: "+one.Address+"\n", "address: "+e.Address()+"\n")
		}
	}
	n.text = []byte(strings.NewReplacer(replacements...).Replace(string(n.options.Document)))
	document, err := environment.Decode(n.text)
	if err != nil {
		return fmt.Errorf("document with replaced addresses: %w", err)
	}
	n.document = document
	return nil
}

func (n *installation) startInstance(group proxy.Group, one proxy.Instance, source string) (*emulated, error) {
	if one.Primary != (source == "") {
		return nil, eris.Errorf("group %s: the primary must be listed first", group.ID)
	}
	i, cleanUp, err := instance.New(instance.Options{
		Name: string(one.ID), Source: source, Replica: !one.Primary, Rebuild: true, User: instanceUser,
		Faults: instance.Faults{
			Lag: n.options.lag(), Cost: instance.DefaultCost, Slots: group.Slots, Connections: group.Connections,
		},
		Log: n.options.Log,
	})
	if err != nil {
		return nil, fmt.Errorf("instance %s: %w", one.ID, err)
	}
	e := &emulated{Instance: i, group: group.ID, close: cleanUp}
	n.instances[one.ID] = e
	n.later(cleanUp)
	n.run(func() { _ = i.Run(context.Background()) })
	return e, nil
}

// startHosts issues certificates, lists the hosts at the platform and runs
// them.
func (n *installation) startHosts(ctx context.Context) error {
	directory, err := os.MkdirTemp("", "experiment")
	if err != nil {
		return fmt.Errorf("directory of certificates: %w", err)
	}
	n.directory = directory
	n.later(func() { _ = os.RemoveAll(directory) })
	names := []string{"clients"}
	for i := range n.options.Hosts {
		names = append(names, string(hostID(i)))
	}
	issuer, err := authority.New("experiment", time.Now())
	if err != nil {
		return fmt.Errorf("authority: %w", err)
	}
	if err := issuer.Write(directory, names...); err != nil {
		return fmt.Errorf("certificates: %w", err)
	}
	n.trust = x509.NewCertPool()
	n.trust.AppendCertsFromPEM(issuer.Certificate())
	zones := zonesOf(n.document)
	for i := range n.options.Hosts {
		if err := n.startHost(ctx, hostID(i), zones[i%len(zones)]); err != nil {
			return fmt.Errorf("host %s: %w", hostID(i), err)
		}
	}
	return nil
}

func (n *installation) file(name string) string { return filepath.Join(n.directory, name) }

// clientTLS returns the clients' TLS configuration. The certificates are issued
// for loopback addresses.
func (n *installation) clientTLS() *tls.Config {
	return &tls.Config{RootCAs: n.trust, ServerName: "127.0.0.1", MinVersion: tls.VersionTLS12}
}

// list puts a host on the platform's list.
func (n *installation) list(ctx context.Context, state proxy.HostState) error {
	value, err := json.Marshal(state)
	if err != nil {
		return fmt.Errorf("encode host: %w", err)
	}
	key := proxy.HostPrefix(n.document.Environment, proxy.Production) + proxy.Key(state.ID)
	if _, err := n.platform.Memory.Put(ctx, key, value, 0); err != nil {
		return fmt.Errorf("list host: %w", err)
	}
	return nil
}

// putInForce tries and promotes the document and waits for the hosts.
func (n *installation) putInForce(ctx context.Context) error {
	proposal := environment.Proposal{Text: n.text, Author: "experiment", Time: time.Now()}
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

// zonesOf returns the zones of a document's instances in order.
func zonesOf(document *proxy.Document) []proxy.Zone {
	var zones []proxy.Zone
	seen := make(map[proxy.Zone]bool)
	for _, group := range document.Groups {
		for _, one := range group.Instances {
			if !seen[one.Zone] {
				seen[one.Zone] = true
				zones = append(zones, one.Zone)
			}
		}
	}
	return zones
}
