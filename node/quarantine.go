package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/catkinrouter/catkinrouter/fleet"
	"github.com/catkinrouter/catkinrouter/gateway"
	"github.com/catkinrouter/catkinrouter/mirror"
	"github.com/catkinrouter/catkinrouter/quarantine"
	"github.com/catkinrouter/catkinrouter/store"
)

// Times of writing the quarantined requests to the store, from which instances
// that start learn them.
const (
	// quarantineCheckInterval is the time between two checks of whether the store
	// lacks something.
	quarantineCheckInterval = 500 * time.Millisecond
	// unstoredTimeout is how long an instance waits for the first hub to write what
	// the store lacks; a random part of unstoredSpread for each live instance is added,
	// so that few write at once.
	unstoredTimeout = 2 * time.Second
	unstoredSpread  = 100 * time.Millisecond
	// reachableStoreAge is the age of the copy up to which the store most likely
	// answers this instance.
	reachableStoreAge = 2 * time.Second
)

// sharedQuarantine is what the store holds of requests that crash upstreams. It is
// guarded by the Node's lock.
type sharedQuarantine struct {
	stored   []quarantine.Entry
	revision store.Revision // 0 if there is no key
	// writeAt is when an instance that is not the first hub writes what the store lacks; 0 if
	// it lacks nothing.
	writeAt time.Duration
}

// applyQuarantine takes what the store holds. A list that can't be decoded counts
// as empty and is replaced by the next write.
func (n *Node) applyQuarantine(it mirror.Item, source string) {
	n.shared.stored, n.shared.revision = nil, it.Revision
	if it.Deleted {
		n.shared.revision = 0
		return
	}
	n.shared.stored = n.mergeQuarantine(it.Value, source)
}

// mergeQuarantine takes the entries in value and returns them.
func (n *Node) mergeQuarantine(value []byte, source string) []quarantine.Entry {
	entries, err := quarantine.Decode(value)
	if err != nil {
		gometrics.GetOrRegisterCounter("malformed_total.quarantine", n.registry).Inc(1)
		level.Warn(n.log).Log("msg", "quarantine list ignored", "source", source, "err", err)
		return nil
	}
	n.gateway.MergeQuarantined(entries)
	level.Info(n.log).Log("msg", "quarantine list received", "entries", len(entries), "source", source)
	return entries
}

// UnstoredQuarantine implements fleet.Listener.
func (n *Node) UnstoredQuarantine() []byte {
	entries := n.gateway.Quarantined()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !quarantine.Missing(entries, n.shared.stored) {
		return nil
	}
	return n.encodeQuarantine(entries)
}

// QuarantineReceived implements fleet.Listener.
func (n *Node) QuarantineReceived(value []byte, peer string) {
	// A panic, such as in the decoder, loses this list only; it is logged.
	_ = n.guard.Run("quarantine list", func() { n.mergeQuarantine(value, "peer "+peer) })
}

// CrashReported implements fleet.Listener.
func (n *Node) CrashReported(_ time.Duration, r fleet.CrashReport) (suspected bool) {
	return n.gateway.RecordRemoteCrash(gateway.CrashReport{
		Content: r.Content, Answered: r.Answered, Upstream: r.Upstream,
		Ran: time.Duration(r.RanMillis) * time.Millisecond, Age: time.Duration(r.AgeMillis) * time.Millisecond,
	})
}

// reportCrash tells the other instances.
func (n *Node) reportCrash(r gateway.CrashReport) {
	n.fleet.ReportCrash(fleet.CrashReport{
		Content: r.Content, Answered: r.Answered, Upstream: r.Upstream,
		RanMillis: uint32(r.Ran.Milliseconds()), AgeMillis: uint32(r.Age.Milliseconds()),
	}, r.Suspected)
}

// storeQuarantine writes the quarantined requests to the store when it lacks some,
// until ctx ends.
func (n *Node) storeQuarantine(ctx context.Context) error {
	t := time.NewTicker(quarantineCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.quarantineChanged:
		case <-t.C:
		}
		// A panic is logged; the next check tries again.
		_ = n.guard.Run("quarantine write", func() { n.writeQuarantine(ctx) })
	}
}

// writeQuarantine writes the quarantined requests if the store lacks some and it
// is this instance's turn. A failed write is tried again at the next check, with
// what the store holds by then.
func (n *Node) writeQuarantine(ctx context.Context) {
	value, expect, due := n.nextQuarantine()
	if !due {
		return
	}
	_, err := n.adapter.Store.Put(ctx, n.adapter.Keys.Quarantine, value, int64(expect), 0)
	level.Info(n.log).Log("msg", "quarantine list written", "bytes", len(value), "revision_before", expect, "err", err)
}

// nextQuarantine returns the list to write and the revision that it replaces, and
// whether it is due: at the first hub at once, elsewhere if that has not written it in
// time.
func (n *Node) nextQuarantine() (value []byte, expect store.Revision, due bool) {
	entries := n.gateway.Quarantined()
	status := n.fleet.Status()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !quarantine.Missing(entries, n.shared.stored) {
		n.shared.writeAt = 0
		return nil, 0, false
	}
	now := n.now()
	if n.shared.writeAt == 0 {
		n.shared.writeAt = now + unstoredTimeout + rand.N(unstoredSpread*time.Duration(max(1, status.Live)))
	}
	reachable := status.Revision > 0 && status.CopyAge <= reachableStoreAge
	if !reachable || !status.FirstHub && now < n.shared.writeAt {
		return nil, 0, false
	}
	n.shared.writeAt = 0
	return n.encodeQuarantine(entries), n.shared.revision, true
}

// countQuarantined returns the number of requests that are kept from the upstreams.
func (n *Node) countQuarantined() (count int64) {
	wall := time.Now()
	for _, e := range n.gateway.Quarantined() {
		if e.InForce(wall) {
			count++
		}
	}
	return count
}

// encodeQuarantine returns entries as the store holds them.
func (n *Node) encodeQuarantine(entries []quarantine.Entry) []byte {
	value, err := quarantine.Encode(entries)
	if err != nil {
		level.Error(n.log).Log("msg", "quarantine list not encoded", "err", err)
	}
	return value
}
