package environment

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// HostCondition describes whether a host applies a revision.
type HostCondition string

// The conditions of a host. While one host is Behind, NoStatus or Unreadable, the
// revision is not known to be in force everywhere; see HostProgress.Lagging.
const (
	// InForce hosts apply the revision or a later one.
	InForce HostCondition = "in force"
	// Behind hosts apply an earlier revision, another document of the same revision,
	// or none.
	Behind HostCondition = "behind"
	// NoStatus hosts are listed as live and have reported no status since they
	// started.
	NoStatus HostCondition = "no status"
	// Unreadable hosts have a list entry or a status that does not decode.
	Unreadable HostCondition = "unreadable"
	// Leaving hosts are shutting down and need not apply the revision.
	Leaving HostCondition = "leaving"
	// Unlisted hosts have a status but no list entry. They have stopped, or they have
	// just started and the list lags. They need not apply the revision.
	Unlisted HostCondition = "not listed"
)

// HostProgress is the condition of one host and the revision that it applies.
type HostProgress struct {
	Host      proxy.HostID   `json:"host"`
	Zone      proxy.Zone     `json:"zone,omitempty"`
	Condition HostCondition  `json:"condition"`
	Revision  proxy.Revision `json:"revision"`
	// Reported is the time of the host's status, zero if there is none.
	Reported time.Time `json:"reported,omitzero"`
}

// Lagging reports whether the host should apply the revision and does not, or is not
// known to do so.
func (h HostProgress) Lagging() bool {
	return h.Condition == Behind || h.Condition == NoStatus || h.Condition == Unreadable
}

// Progress describes on which hosts a revision is in force.
type Progress struct {
	Revision proxy.Revision `json:"revision"`
	Digest   Digest         `json:"digest"`
	// Live is the number of hosts that should apply the revision, Ready the number
	// of those that do.
	Live  int            `json:"live"`
	Ready int            `json:"ready"`
	Hosts []HostProgress `json:"hosts"`
}

// AllReady reports whether there are live hosts and the revision is in force on all of
// them.
func (p *Progress) AllReady() bool { return p.Live > 0 && p.Ready == p.Live }

// String describes the progress in one line and names the first lagging hosts.
func (p *Progress) String() string {
	if p.Live == 0 {
		return fmt.Sprintf("revision %d: no live host", p.Revision)
	}
	line := fmt.Sprintf("revision %d: in force on %d of %d live hosts", p.Revision, p.Ready, p.Live)
	var laggingHosts []string
	for _, host := range p.Hosts {
		if host.Condition == Behind {
			laggingHosts = append(laggingHosts, fmt.Sprintf("%s (revision %d)", host.Host, host.Revision))
		} else if host.Lagging() {
			laggingHosts = append(laggingHosts, fmt.Sprintf("%s (%s)", host.Host, host.Condition))
		}
	}
	const maxNamed = 8
	if more := len(laggingHosts) - maxNamed; more > 0 {
		laggingHosts = append(laggingHosts[:maxNamed], fmt.Sprintf("%d more", more))
	}
	if len(laggingHosts) > 0 {
		line += "; waiting for " + strings.Join(laggingHosts, ", ")
	}
	return line
}

// ReadProgress reads from the platform on which hosts a revision of a stage is in force.
func ReadProgress(ctx context.Context, store proxy.Store, environment proxy.EnvironmentID, stage proxy.Stage, revision proxy.Revision, digest Digest) (*Progress, error) {
	prefix := proxy.HostPrefix(environment, stage)
	listed, err := store.List(ctx, prefix)
	if err != nil {
		return nil, fmt.Errorf("list hosts: %w", err)
	}
	statuses, err := readStatuses(ctx, store, environment, stage)
	if err != nil {
		return nil, err
	}
	p := &Progress{Revision: revision, Digest: digest}
	for _, object := range listed {
		p.addListed(proxy.HostID(strings.TrimPrefix(string(object.Key), string(prefix))), object.Value, statuses)
	}
	for id, status := range statuses {
		p.addUnlisted(id, status)
	}
	slices.SortFunc(p.Hosts, func(a, b HostProgress) int { return cmp.Compare(a.Host, b.Host) })
	return p, nil
}

// readStatuses returns the hosts' statuses. A status that does not decode, or that
// names another host, is nil.
func readStatuses(ctx context.Context, store proxy.Store, environment proxy.EnvironmentID, stage proxy.Stage) (map[proxy.HostID]*HostStatus, error) {
	prefix := StatusPrefix(environment, stage)
	objects, err := store.List(ctx, prefix)
	if err != nil {
		return nil, fmt.Errorf("list host statuses: %w", err)
	}
	statuses := make(map[proxy.HostID]*HostStatus, len(objects))
	for _, object := range objects {
		id := proxy.HostID(strings.TrimPrefix(string(object.Key), string(prefix)))
		status, err := DecodeStatus(object.Value)
		if err != nil || status.Host != id {
			status = nil
		}
		statuses[id] = status
	}
	return statuses, nil
}

func (p *Progress) addListed(id proxy.HostID, value []byte, statuses map[proxy.HostID]*HostStatus) {
	status, reported := statuses[id]
	delete(statuses, id)
	var host proxy.HostState
	if err := json.Unmarshal(value, &host); err != nil || host.ID != id {
		p.add(HostProgress{Host: id, Condition: Unreadable})
		return
	}
	if reported && status == nil {
		p.add(HostProgress{Host: id, Zone: host.Zone, Condition: Unreadable})
		return
	}
	progress := HostProgress{Host: id, Zone: host.Zone, Condition: NoStatus}
	if reported && sameIncarnation(host, status) {
		progress.Revision, progress.Reported = status.Revision, status.Time
		progress.Condition = p.condition(status)
	}
	if host.Leaving || progress.Condition != NoStatus && status.Leaving {
		progress.Condition = Leaving
	}
	p.add(progress)
}

// sameIncarnation reports whether the listed incarnation of the host wrote the status.
// If the list contains no incarnation, any status counts.
func sameIncarnation(host proxy.HostState, status *HostStatus) bool {
	return host.Incarnation == 0 || host.Incarnation == status.Incarnation
}

func (p *Progress) condition(status *HostStatus) HostCondition {
	if status.Revision > p.Revision || status.Revision == p.Revision && status.Digest == p.Digest {
		return InForce
	}
	return Behind
}

func (p *Progress) addUnlisted(id proxy.HostID, status *HostStatus) {
	progress := HostProgress{Host: id, Condition: Unlisted}
	if status != nil {
		progress.Zone, progress.Revision, progress.Reported = status.Zone, status.Revision, status.Time
	}
	p.add(progress)
}

func (p *Progress) add(host HostProgress) {
	p.Hosts = append(p.Hosts, host)
	if host.Condition == InForce {
		p.Ready++
	}
	if host.Condition == InForce || host.Lagging() {
		p.Live++
	}
}
