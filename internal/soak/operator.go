package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/auburnyoke/auburnyoke/internal/emulator/deployment"
)

// Bounds of the promises, as the users' sites state them.
const (
	// applyTime is when a configuration is in force on hosts in touch.
	applyTime = 3 * time.Second
	// revokeTime is when a withdrawn key has stopped working on all hosts.
	revokeTime = 5 * time.Second
	// graceTime is when a stopping host is killed.
	graceTime = 6 * time.Second
	// lossSlack is how long before the end of its connection a statement may have
	// been sent that a stopping host has not read.
	lossSlack = 200 * time.Millisecond
	// recoveryTime is when hosts serve again after all faults have ended.
	recoveryTime = 12 * time.Second
	// quotaWindow, quotaOvershoot and quotaSlack define how many operations of an
	// account may run.
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20
)

// probeTime is the interval at which the probes look at each host.
const probeTime = 150 * time.Millisecond

// maxKeys is the number of keys in force; the next change withdraws the oldest.
const maxKeys = 3

// operator changes the configuration and watches the hosts apply it.
type operator struct {
	soak *Soak

	mu      sync.Mutex
	version int
	// accepted is when the store acknowledged the version.
	accepted time.Time
	// keys are those in force, the newest last; old holds the last withdrawn one.
	keys []string
	old  string
}

// probeKey is never withdrawn.
const probeKey = "key-probe"

// limited is the account whose callers ask for more than its rate.
var limited = deployment.Tenant{Name: "buyers", Keys: []string{"key-limited"}, Rate: 20, Burst: 20}

// change writes the next version, with a new key where rotate is set.
func (o *operator) change(rotate bool) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	withdrawn := ""
	if rotate || len(o.keys) == 0 {
		o.keys = append(o.keys, fmt.Sprintf("key-%d", o.version))
	}
	if len(o.keys) > maxKeys {
		withdrawn, o.keys = o.keys[0], append([]string(nil), o.keys[1:]...)
	}
	tenants := []deployment.Tenant{
		{Name: "clerks", Keys: append([]string{probeKey}, o.keys...), Rate: 5000, Burst: 5000}, limited,
	}
	for _, t := range tenants {
		o.soak.ledger.Limit(t)
	}
	if err := o.soak.deployment.Configure(o.version, tenants, probeRoute(o.version), probeRoute(o.version-1)); err != nil {
		return fmt.Errorf("write configuration: %w", err)
	}
	o.accepted = time.Now()
	if withdrawn != "" {
		o.old = withdrawn
		o.soak.ledger.Withdraw(withdrawn, o.accepted)
	}
	return nil
}

// probeRoute is the route that a version and the one after it have.
func probeRoute(version int) string { return fmt.Sprintf("probe-%d", version) }

// key returns a key for a session, sometimes a withdrawn one.
func (o *operator) key(random *rand.Rand) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch draw := random.IntN(12); {
	case draw < 2 && o.old != "":
		return o.old
	case draw < 4:
		return limited.Keys[0]
	default:
		return o.keys[random.IntN(len(o.keys))]
	}
}

func (o *operator) current() (version int, accepted time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version, o.accepted
}

// probe looks at the versions that a host has in force, until ctx ends.
func (o *operator) probe(ctx context.Context, h *host) {
	highest, incarnation := 0, 0
	for ctx.Err() == nil {
		pause(ctx, probeTime)
		running := h.running()
		if running != incarnation {
			highest, incarnation = 0, running
		}
		version, accepted := o.current()
		sent := time.Now()
		hello := o.hello(h, probeRoute(version))
		if h.running() != running {
			continue
		}
		switch {
		case strings.HasPrefix(hello, "READY"):
			highest = version
		case !strings.HasPrefix(hello, "ERROR NODB"):
			continue
		case highest == version:
			o.soak.ledger.report("CONFIG", "%s went back behind version %d", h.name, version)
		case sent.Sub(accepted) > applyTime && o.soak.calm.holds(accepted, false, part(h.number), storePart, machinePart):
			o.soak.ledger.report("CONFIG", "version %d was not in force on %s %v after it was accepted",
				version, h.name, sent.Sub(accepted).Round(time.Millisecond))
		}
	}
}

// hello returns a host's answer to a startup message.
func (o *operator) hello(h *host, database string) string {
	client, hello, err := deployment.Dial(h.callers.Address(), database, probeKey)
	if err != nil {
		return err.Error()
	}
	client.Close()
	return hello
}
