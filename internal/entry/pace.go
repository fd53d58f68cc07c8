package entry

import (
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/dispatch"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/pace"
)

// paceLogDelay is how long an instance has to be limited before that is logged. A limit that
// rises after a start or a promotion usually ends sooner.
const paceLogDelay = 500 * time.Millisecond

// paceLogInterval is the interval at which the limits are looked at for the log and the
// gauges.
const paceLogInterval = 250 * time.Millisecond

// paceLog logs which instances are limited. It is used by one goroutine.
type paceLog struct {
	checkedAt proxy.Instant
	limited   map[proxy.InstanceID]limitedInstance
}

type limitedInstance struct {
	dispatch.Pace
	since  proxy.Instant
	logged bool
}

// logPaces logs the instances that this host uses less than it may because of their answers,
// and those that it uses in full again.
func (h *Host) logPaces(now proxy.Instant) {
	if now.Sub(h.paceLog.checkedAt) < paceLogInterval {
		return
	}
	h.paceLog.checkedAt = now
	limited := make(map[proxy.InstanceID]limitedInstance)
	reduced, onTrial := 0, 0
	for _, p := range h.table.Limited(now) {
		known, ok := h.paceLog.limited[p.Instance]
		if !ok {
			known.since = now
		}
		known.Pace = p
		if p.State == pace.Reduced {
			reduced++
		}
		if p.OnTrial {
			onTrial++
		}
		if !known.logged && now.Sub(known.since) >= paceLogDelay {
			known.logged = true
			h.logPace(p, "instance is limited")
		}
		limited[p.Instance] = known
	}
	for id, known := range h.paceLog.limited {
		if _, ok := limited[id]; !ok && known.logged {
			known.State, known.Limit, known.OnTrial = pace.Full, known.Slots, false
			h.logPace(known.Pace, "instance is no longer limited")
		}
	}
	h.paceLog.limited = limited
	h.Metrics.gauges[gaugeLimited].Update(int64(len(limited)))
	h.Metrics.gauges[gaugeReduced].Update(int64(reduced))
	h.Metrics.gauges[gaugeOnTrial].Update(int64(onTrial))
}

func (h *Host) logPace(p dispatch.Pace, message string) {
	if !h.logLimit.allow(h.Clock.Now()) {
		h.Metrics.unlogged.Inc(1)
		return
	}
	h.Log.Info().Str("instance", string(p.Instance)).Str("group", string(p.Group)).Str("pace", p.State.String()).
		Int("limit", p.Limit).Int("slots", p.Slots).Float64("failing", p.Failing).
		Bool("trial", p.OnTrial).Msg(message)
}
