package node

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/catkinrouter/catkinrouter/discovery"
)

// maintenanceInterval is the interval of the checks for what changes without an
// event, such as upstreams that expire.
const maintenanceInterval = 250 * time.Millisecond

// maintain removes expired upstreams and publishes this instance's state to the
// fleet until runCtx is done. Once ctx is done it starts the gateway's drain.
func (n *Node) maintain(ctx, runCtx context.Context) error {
	t := time.NewTicker(maintenanceInterval)
	defer t.Stop()
	leaving := false
	for {
		select {
		case <-runCtx.Done():
			return nil
		case <-ctx.Done():
			if !leaving {
				leaving = true
				n.gateway.StartDraining()
				level.Info(n.log).Log("msg", "stopping", "limit", n.settings.GracePeriod)
			}
			ctx = context.Background()
		case <-t.C:
		case <-n.maintainNow:
		}
		n.expireUpstreams()
		n.gateway.MaintainCustomerLimits()
		n.updateFleetMetrics()
		n.gateway.CheckKeys()
		n.fleet.SetState(n.gateway.Ready(), leaving)
	}
}

func (n *Node) expireUpstreams() {
	n.mu.Lock()
	defer n.mu.Unlock()
	removed := n.upstreams.Expire(n.now())
	for _, id := range removed {
		level.Info(n.log).Log("msg", "upstream changed", "upstream", id, "change", discovery.Gone, "reason", "entry not written again after the store outage")
	}
	if len(removed) > 0 {
		n.publish()
	}
}

// updateFleetMetrics publishes what this instance does for the fleet.
func (n *Node) updateFleetMetrics() {
	s := n.fleet.Status()
	asNumber := func(set bool) int64 {
		if set {
			return 1
		}
		return 0
	}
	for name, value := range map[string]int64{
		"fleet_role.hub": asNumber(s.Hub), "fleet_role.leader": asNumber(s.Leader),
		"fleet_instances.live": int64(s.Live), "fleet_instances.known": int64(s.Known),
		"fleet_copy_age_ms": s.CopyAge.Milliseconds(), "fleet_copy_revision": s.Revision.Count(), "fleet_copy_epoch": s.Revision.Epoch(),
		"fleet_syncs_total.served": s.SyncsServed, "fleet_syncs_total.failed": s.SyncsFailed,
		"fleet_role_changes_total": s.RoleChanges,
		"fleet_pauses_total":       s.Pauses, "fleet_late_heartbeats_total": s.LateHeartbeats,
		"quarantined": n.countQuarantined(),
	} {
		gometrics.GetOrRegisterGauge(name, n.registry).Update(value)
	}
}
