package entry

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/dispatch"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/warmup"
)

const (
	// warmupHandover is how long a host waits until it uses a larger part of the allowance
	// for a cold instance: joinWait, and the time in which changes of the hosts are collected.
	warmupHandover = joinWait + time.Second
	// maxWarmupPause is the longest pause before the allowance is checked again.
	maxWarmupPause = 20 * time.Millisecond
)

var errCold = eris.New("cold instance gets no more statements for now")

// newWarmup returns the table of cold instances, or nil if the deployment has no limit.
func (h *Host) newWarmup() *warmup.Table {
	if h.Settings.WarmupOvershoot == 0 {
		return nil
	}
	return &warmup.Table{Bounds: warmup.Bounds{
		Overshoot: h.Settings.WarmupOvershoot, Slack: h.Settings.WarmupSlack,
		Handover: warmupHandover, Validity: joinWait,
	}}
}

// awaitWarmup waits until statements may be sent to an instance that may be cold, and records
// them. It returns false if that takes longer than the timeout.
func (h *Host) awaitWarmup(c *dispatch.Connection, timeout time.Duration, statements int) bool {
	end := h.Clock.Now().Add(timeout)
	for {
		now := h.Clock.Now()
		wait := h.table.Send(now, c, statements)
		if wait == 0 {
			return true
		}
		if now.Add(wait) > end {
			h.Metrics.cold.Inc(1)
			return false
		}
		time.Sleep(min(wait, maxWarmupPause))
	}
}

// warmupMember returns an instance with this host's part of its allowance. The caller holds
// the lock of the cluster state.
func (h *Host) warmupMember(i *registeredInstance, group directory.Group, holders []proxy.HostID) warmup.Member {
	bounds := h.warmup.Bounds
	allowance := bounds.Allowance(group.WarmupRate)
	m := warmup.Member{ID: i.ID, ColdUntil: i.coldUntil, Time: group.WarmupTime}
	if len(holders) > 0 {
		m.Share = warmup.HolderShare(allowance, slices.Index(holders, h.Settings.Host), len(holders))
		return m
	}
	rank := 0
	for id := range h.clusterState.members {
		if id < h.Settings.Host {
			rank++
		}
	}
	if h.clusterState.members[h.Settings.Host] == nil {
		rank = -1
	}
	m.Share = warmup.EqualShare(allowance, rank, len(h.clusterState.members))
	return m
}

// confirmWarmup records that the configuration was confirmed as of an instant.
func (h *Host) confirmWarmup(confirmedAt proxy.Instant) {
	if h.warmup != nil {
		h.warmup.Confirm(confirmedAt)
	}
}

// suspectFrom records the sign of a restart in the result of a command that another host has
// run. Without it, this host would use a connection of its own in place of that host's, or
// that of another holder, which has not seen the sign.
func (h *Host) suspectFrom(id proxy.InstanceID, result proxy.Executed) {
	if h.warmup == nil {
		return
	}
	// A host that uses an instance no longer may have received its new entry.
	unreached := result.Refusal != nil && (result.Refusal.Cause == proxy.Unreachable ||
		result.Refusal.Cause == proxy.Unserved && !result.Leaving)
	if unreached || result.Unknown != "" && !result.Lost {
		h.warmup.Suspect(h.Clock.Now(), id)
	}
}
