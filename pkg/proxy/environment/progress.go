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

// HostCondition tells how far a host has come with a revision.
type HostCondition string

// The conditions of a host. A host delays a revision if it is behind, silent or
// unreadable.
const (
	// InForce hosts apply the revision or a later one.
	InForce HostCondition = "in force"
	// Behind hosts apply an earlier revision or none.
	Behind HostCondition = "behind"
	// Silent hosts are listed as live and have reported no status since they
	// started.
	Silent HostCondition = "no status"
	// Unreadable hosts have an entry in the list or a status that does not
	// decode.
	Unreadable HostCondition = "unreadable"
	// Leaving hosts are not waited for.
	Leaving HostCondition = "leaving"
	// Unlisted hosts have a status but are not in the list, which lags. They
	// are gone or have just started, and are not waited for.
	Unlisted HostCondition = "not listed"
)

// HostProgress is the state of one host.
type HostProgress struct {
	Host      proxy.HostID   `json:"host"`
	Zone      proxy.Zone     `json:"zone,omitempty"`
	Condition HostCondition  `json:"condition"`
	Revision  proxy.Revision `json:"revision"`
	// Reported is the time of the host's status, zero without one.
	Reported time.Time `json:"reported,omitzero"`
}

// Delays tells whether a revision is not in force everywhere because of the
// host.
func (h HostProgress) Delays() bool {
	return h.Condition == Behind || h.Condition == Silent || h.Condition == Unreadable
}

// Progress tells on which hosts a revision is in force.
type Progress struct {
	Revision proxy.Revision `json:"revision"`
	Digest   Digest         `json:"digest"`
	// Live counts the hosts that the revision must reach, and Ready those on
	// which it is in force.
	Live  int            `json:"live"`
	Ready int            `json:"ready"`
	Hosts []HostProgress `json:"hosts"`
}

// Everywhere tells whether the revision is in force on every live host, of which
// there is at least one.
func (p *Progress) Everywhere() bool { return p.Live > 0 && p.Ready == p.Live }

// String tells in one line how far the revision has come and who lags.
func (p *Progress) String() string {
	if p.Live == 0 {
		return fmt.Sprintf("revision %d: no live host", p.Revision)
	}
	line := fmt.Sprintf("revision %d: in force on %d of %d live hosts", p.Revision, p.Ready, p.Live)
	var lagging []string
	for _, host := range p.Hosts {
		if host.Condition == Behind {
			lagging = append(lagging, fmt.Sprintf("%s (revision %d)", host.Host, host.Revision))
		} else if host.Delays() {
			lagging = append(lagging, fmt.Sprintf("%s (%s)", host.Host, host.Condition))
		}
	}
	const most = 8
	if more := len(lagging) - most; more > 0 {
		lagging = append(lagging[:most], fmt.Sprintf("%d more", more))
	}
	if len(lagging) > 0 {
		line += "; waiting for " + strings.Join(lagging, ", ")
	}
	return line
}

// ReadProgress tells how far the given revision of a stage has come.
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

// readStatuses returns the statuses by host, nil for one that does not decode.
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
	progress := HostProgress{Host: id, Zone: host.Zone, Condition: Silent}
	if reported && sameLife(host, status) {
		progress.Revision, progress.Reported = status.Revision, status.Time
		progress.Condition = p.condition(status)
	}
	if host.Leaving || progress.Condition != Silent && status.Leaving {
		progress.Condition = Leaving
	}
	p.add(progress)
}

// sameLife tells whether a status is of the listed incarnation. A list without
// incarnations does not tell lives apart.
func sameLife(host proxy.HostState, status *HostStatus) bool {
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
	if host.Condition == InForce || host.Delays() {
		p.Live++
	}
}
