package entry

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// minEvacuation is the least bound of evacuations: the margin for sending, a watch of the
// evacuations and a relay's pause fit into it.
const minEvacuation = 2 * time.Second

// Settings are the settings of a host.
type Settings struct {
	Host proxy.HostID
	Zone proxy.Zone
	// Listen is the address and port for clients, Ready those for the load balancer's
	// readiness probes.
	Listen string
	Ready  string
	// Metrics is the address and port where metrics are served; empty for none.
	Metrics string
	// Peer is the address and port for requests of other hosts, over TCP and UDP.
	Peer netip.AddrPort
	// Forward is the address and port for commands that other hosts run over this host's
	// connections, over TCP; not valid for none.
	Forward netip.AddrPort
	// Store and Orders are the addresses of the platform's store and of its API for
	// promotion requests.
	Store  string
	Orders string
	// Memory is the memory limit of the process, in bytes; zero for none.
	Memory int64
	// Descriptors is the limit of open file descriptors; zero for none.
	Descriptors int
	// Link is the bandwidth of the host's network link; zero if it is not known. In
	// each zone, a host with the widest link relays the store to the others.
	Link proxy.MegabitsPerSecond
	// Withdrawal is the time within which a withdrawn key must stop working.
	Withdrawal time.Duration
	// Drain is how long a leaving instance may be used.
	Drain time.Duration
	// Evacuation is the time after the acknowledgement of an evacuation from which no
	// statement may reach the zone; zero if the deployment has no evacuations.
	Evacuation time.Duration
	// WarmupOvershoot times the warm-up rate of a group plus WarmupSlack is the number of
	// statements that a cold instance may get in one second; both zero for no limit.
	WarmupOvershoot, WarmupSlack float64
	// Grace is the time between the signal to stop and the end of the process.
	Grace time.Duration
}

// Validate reports the first setting that is missing or out of range.
func (s Settings) Validate() error {
	if s.Host == "" {
		return eris.New("name of the host is empty")
	}
	for name, address := range map[string]string{
		"listen": s.Listen, "ready": s.Ready, "store": s.Store, "orders": s.Orders,
	} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	if !s.Peer.IsValid() {
		return eris.New("peer: no address")
	}
	if s.Withdrawal < time.Second {
		return eris.Errorf("withdrawal %v: want at least 1s", s.Withdrawal)
	}
	if s.Grace <= 0 || s.Drain <= 0 || s.Memory < 0 || s.Descriptors < 0 || s.Link < 0 {
		return eris.New("grace and drain must be positive, memory, descriptors and link not negative")
	}
	if !(s.WarmupOvershoot >= 0) || !(s.WarmupSlack >= 0) {
		return eris.Errorf("warm-up overshoot %v or slack %v is negative", s.WarmupOvershoot, s.WarmupSlack)
	}
	if s.Evacuation != 0 && s.Evacuation < minEvacuation {
		return eris.Errorf("evacuation %v: want 0 or at least %v", s.Evacuation, minEvacuation)
	}
	return nil
}
