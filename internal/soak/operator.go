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

// Bounds that the system guarantees. The users' sites specify them.
const (
	// maxApplyTime is the time within which a configuration is in force on every host
	// that can reach the store.
	maxApplyTime = 3 * time.Second
	// maxRevokeTime is the time within which a withdrawn key stops working on all hosts.
	maxRevokeTime = 5 * time.Second
	// maxDrainTime is the time for which an instance that leaves gets operations.
	maxDrainTime = 7 * time.Second
	// gracePeriod is the time after which a host that is stopping is killed.
	gracePeriod = 6 * time.Second
	// unreadWindow is the time before the end of a connection within which a statement
	// may be sent and get no answer, because the stopping host has not read it.
	unreadWindow = 200 * time.Millisecond
	// maxRecoveryTime is the time within which hosts serve again after the last fault
	// has ended.
	maxRecoveryTime = 12 * time.Second
	// Within a quotaWindow an account may run the operations that its rate and burst
	// allow, increased by the fraction quotaOvershoot, plus quotaSlack operations.
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20
)

// probeInterval is the time between two probes of a host.
const probeInterval = 150 * time.Millisecond

// maxKeys is the maximum number of valid keys. Adding another one withdraws the oldest.
const maxKeys = 3

// operator changes the configuration and checks that the hosts apply it.
type operator struct {
	soak *Soak

	mu      sync.Mutex
	version int
	// acceptedAt is when the store acknowledged the version.
	acceptedAt time.Time
	// keys are the valid keys, oldest first.
	keys []string
	// withdrawnKey is the key that was withdrawn last.
	withdrawnKey string
}

// probeKey is the key of the probes. It is never withdrawn.
const probeKey = "key-probe"

// limitedAccount is an account whose clients send more requests than its rate allows.
var limitedAccount = deployment.Account{Name: "buyers", Keys: []string{"key-limited"}, Rate: 20, Burst: 20}

// changeConfiguration writes the next version of the configuration. If rotate is set,
// it adds a key and withdraws the oldest above maxKeys.
func (o *operator) changeConfiguration(rotate bool) error {
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
	accounts := []deployment.Account{
		{Name: "clerks", Keys: append([]string{probeKey}, o.keys...), Rate: 5000, Burst: 5000}, limitedAccount,
	}
	if o.soak.sharesConnections() {
		for n := range otherAccounts {
			accounts = append(accounts, deployment.Account{Name: fmt.Sprintf("other-%d", n), Rate: 10, Burst: 10})
		}
	}
	for _, account := range accounts {
		o.soak.ledger.RecordLimits(account)
	}
	if err := o.soak.deployment.Configure(
		o.version, accounts, probeRoute(o.version), probeRoute(o.version-1),
	); err != nil {
		return fmt.Errorf("write configuration: %w", err)
	}
	o.acceptedAt = time.Now()
	if withdrawn != "" {
		o.withdrawnKey = withdrawn
		o.soak.ledger.RecordWithdrawal(withdrawn, o.acceptedAt)
	}
	return nil
}

// probeRoute returns the name of the route that only this version of the configuration
// and the next one contain.
func probeRoute(version int) string { return fmt.Sprintf("probe-%d", version) }

// key returns a random key for a session, sometimes the withdrawn one.
func (o *operator) key(random *rand.Rand) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch draw := random.IntN(12); {
	case draw < 2 && o.withdrawnKey != "":
		return o.withdrawnKey
	case draw < 4:
		return limitedAccount.Keys[0]
	default:
		return o.keys[random.IntN(len(o.keys))]
	}
}

func (o *operator) current() (version int, acceptedAt time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version, o.acceptedAt
}

// probe checks until ctx is done that a host applies each version of the configuration
// in time and does not return to an older one. A host that knows the probe route of a
// version has applied it.
func (o *operator) probe(ctx context.Context, h *host) {
	highest, incarnation := 0, 0
	for ctx.Err() == nil {
		pause(ctx, probeInterval)
		runningIncarnation := h.runningIncarnation()
		if runningIncarnation != incarnation {
			highest, incarnation = 0, runningIncarnation
		}
		version, acceptedAt := o.current()
		sent := time.Now()
		greeting := o.greeting(h, probeRoute(version))
		if h.runningIncarnation() != runningIncarnation {
			continue
		}
		switch {
		case strings.HasPrefix(greeting, "READY"):
			highest = version
		case !strings.HasPrefix(greeting, "ERROR NODB"):
			continue
		case highest == version:
			o.soak.ledger.report("CONFIG", "%s went back behind version %d", h.name, version)
		case sent.Sub(acceptedAt) > maxApplyTime &&
			o.soak.faultHistory.faultFree(acceptedAt, false, component(h.number), storeComponent, machineComponent):
			o.soak.ledger.report("CONFIG", "version %d was not in force on %s %v after it was accepted",
				version, h.name, sent.Sub(acceptedAt).Round(time.Millisecond))
		}
	}
}

// greeting returns a host's answer to a startup message.
func (o *operator) greeting(h *host, database string) string {
	client, greeting, err := deployment.Dial(h.clientRelay.Address(), database, probeKey)
	if err != nil {
		return err.Error()
	}
	client.Close()
	return greeting
}
