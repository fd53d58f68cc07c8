package daemon

import (
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// page returns the data of the status page.
func (h *Host) page() StatusPage {
	now := h.clock.Now()
	document, revision := h.configuration.Current()
	page := StatusPage{
		Host: h.self.ID, Zone: h.self.Zone, Incarnation: h.self.Incarnation, Environment: h.settings.Environment,
		Stage: h.settings.Stage, Revision: revision, Ready: true, Stopping: h.stopping.Load(),
		Sessions: len(h.frontend.Sessions()),
	}
	if err := h.configuration.CheckServing(now); err != nil {
		page.Ready, page.Reason = false, err.Error()
	}
	if page.Stopping {
		page.Ready, page.Reason = false, "the host is stopping"
	}
	live, _ := h.members.Live()
	for _, peer := range live {
		page.Peers = append(page.Peers, PeerStatus{Host: peer.ID, Zone: peer.Zone, Address: peer.Address, Leaving: peer.Leaving})
	}
	if document != nil {
		for i := range document.Groups {
			page.Groups = append(page.Groups, h.groupStatus(now, document.Groups[i].ID))
		}
	}
	return page
}

func (h *Host) groupStatus(now proxy.Instant, id proxy.GroupID) GroupStatus {
	status := GroupStatus{Group: id, Local: h.pooled(id)}
	if known, ok := h.promotion.Status(now, id); ok {
		status.Term, status.Primary, status.Reason = known.Term, known.Primary, known.Text
	}
	for _, state := range h.pool.InstanceStates(id) {
		instance := InstanceStatus{Instance: state.Instance, Primary: state.Primary, Replayed: state.Replayed.String(), Busy: state.Busy}
		instance.Age = now.Sub(state.MeasuredAt).Round(time.Millisecond).String()
		if state.MeasuredAt == 0 {
			instance.Age = "never"
		}
		status.Instances = append(status.Instances, instance)
	}
	return status
}
