package entry

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/balance"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/evacuation"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/failover"
)

var errEvacuated = eris.New("zone of the instance is evacuated")

// evacuationWait returns how long the store may hold the watch of evacuations. Two waits
// and a relay's pause have to fit into the bound, since a confirmation is up to so old.
func (h *Host) evacuationWait() time.Duration {
	return min(confirmationWait, (h.Settings.Evacuation-evacuation.SendMargin-relayAgeMargin)/2)
}

// followEvacuations follows the evacuations, if the deployment has any.
func (h *Host) followEvacuations(ctx context.Context) {
	if !h.evacuations.Followed() {
		return
	}
	f := h.newFollower(h.Decode.EvacuationKind, h.evacuationWait())
	f.applySnapshot = func(confirmedAt proxy.Instant, listing proxy.Listing) {
		first := !h.evacuations.Known()
		h.recordEvacuations(h.evacuations.Replace(h.Clock.Now(), confirmedAt, listing.Records) || first)
	}
	f.applyChanges = func(confirmedAt proxy.Instant, listing proxy.Listing) {
		h.recordEvacuations(h.evacuations.Apply(h.Clock.Now(), confirmedAt, listing.Records))
	}
	f.run(ctx)
}

// recordEvacuations logs and applies the evacuations after a change.
func (h *Host) recordEvacuations(changed bool) {
	if !changed {
		return
	}
	all, closed := h.evacuations.Zones(h.Clock.Now())
	h.Log.Info().Strs("evacuated", zoneNames(all)).Strs("closed", zoneNames(closed)).Msg("evacuations changed")
	h.updateDispatch()
}

func zoneNames(zones []proxy.Zone) []string {
	names := make([]string, 0, len(zones))
	for _, zone := range zones {
		names = append(names, shorten(string(zone)))
	}
	return names
}

// applyClosedZones stops using the instances of zones whose time has ended, or of all zones
// when the evacuations are no longer confirmed.
func (h *Host) applyClosedZones(now proxy.Instant) {
	if !h.evacuations.Followed() || !h.evacuations.Known() {
		return
	}
	all, closed := h.evacuations.Zones(now)
	confirmed := h.evacuations.Confirmed(now)
	if confirmed == h.evacuationsConfirmed && slices.Equal(closed, h.closedZones) {
		return
	}
	h.closedZones, h.evacuationsConfirmed = closed, confirmed
	h.Log.Info().Strs("evacuated", zoneNames(all)).Strs("closed", zoneNames(closed)).Bool("confirmed", confirmed).
		Dur("age", h.evacuations.Age(now)).Msg("closed zones changed")
	h.updateDispatch()
}

// searchFor returns what is known of the group of a request for which there is no usable
// instance.
func (h *Host) searchFor(request balance.Request) evacuation.Search {
	cs := h.clusterState
	cs.mu.Lock()
	defer cs.mu.Unlock()
	s := evacuation.Search{
		Instances: cs.groupInstancesLocked(request.Group), NeedsPrimary: request.Primary, ChangeTime: cs.failoverTime,
	}
	if l := cs.leaderships[request.Group]; l != nil && l.record.Phase == failover.Settled {
		if i := cs.instances[l.record.Primary]; i != nil {
			s.Primary = &i.Instance
		}
	}
	return s
}
