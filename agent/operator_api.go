package agent

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/link"
	"github.com/catkinrouter/catkinrouter/operator"
)

// statusInterval is the time between two status snapshots. A change of the entry's
// revision is published at once.
const statusInterval = time.Second

// operatorHandler returns the handler of the intent API. A configuration that is
// confirmed through it goes to the Node at once; if the event queue is full, the
// Node gets it by the next read or watch of the store or from a peer.
func (d *Daemon) operatorHandler() fasthttp.RequestHandler {
	return operator.Handler(
		config.NewCommitter(d.store), operator.WithStatus(d), operator.WithMetrics(d.metrics),
		operator.WithOnAccepted(func(h config.Head) {
			d.tryPost(func(n *Node, now time.Duration) []Action { return n.Accept(now, h) })
		}),
	)
}

// Status implements operator.StatusSource. It returns the last snapshot.
func (d *Daemon) Status() operator.Status {
	if s := d.status.Load(); s != nil {
		return *s
	}
	return operator.Status{Instance: d.cfg.ID}
}

// publishStatus takes a snapshot of the status and the counts if one is due. It
// must be called from the event loop.
func (d *Daemon) publishStatus() {
	now := d.now()
	if now < d.publishedAt+statusInterval && d.publishedRevision == d.node.entry.status.Revision {
		return
	}
	d.publishedAt, d.publishedRevision = now, d.node.entry.status.Revision
	s := operatorStatus(d.cfg.ID, d.node.Status(now), &d.node.entry.detail)
	d.status.Store(&s)
	d.updateGauges()
}

func operatorStatus(id string, s Status, entry *link.Status) operator.Status {
	out := operator.Status{
		Instance: id, Revision: s.Revision, Digest: s.Digest,
		StoreReached: s.StoreReachable, StoreAnswerAgeMillis: s.OwnReadAge.Milliseconds(),
	}
	for _, m := range s.Members {
		out.Instances = append(out.Instances, operator.InstanceStatus{
			ID: m.ID, DataCentre: m.DataCentre, Region: m.Region, Revision: m.Beat.Revision,
			HeartbeatAgeMillis: m.Age.Milliseconds(), Leaving: m.Beat.Leaving,
		})
	}
	for _, u := range entry.Upstreams {
		out.Upstreams = append(out.Upstreams, operator.UpstreamStatus(u))
	}
	for _, c := range entry.Counters {
		out.Counters = append(out.Counters, operator.Counter(c))
	}
	for _, x := range entry.Shares {
		out.Shares = append(out.Shares, operator.ShareStatus(x))
	}
	return out
}

// updateGauges copies the Node's counts to the metrics.
func (d *Daemon) updateGauges() {
	t, s, k := d.node.table.Counts(), d.node.replica.counts, d.node.replica.current.Counts()
	for _, g := range []struct {
		name  string
		value int64
	}{
		{"members.dropped.silent", t.Silent},
		{"members.dropped.left", t.Leaving},
		{"members.returned", t.Returned},
		{"members.refused.old", t.Outdated},
		{"members.refused.full", t.Full},
		{"members.refused.mismatched", t.Mismatched},
		{"members.refused.malformed", t.Malformed},
		{"members.refused.late", t.Late},
		{"members.refuted", t.Refuted},
		{"members.pauses", t.Pauses},
		{"members.live", int64(d.node.table.Live())},
		{"config.revision", int64(d.node.replica.current.Version().Revision)},
		{"config.fetches", s.Fetches},
		{"config.failed.fetch", s.Failed},
		{"config.refused.undecodable", s.Corrupt + k.Undecodable},
		{"config.refused.corrupt", k.Corrupt},
		{"config.refused.older", k.Older},
		{"config.refused.conflict", s.Conflicting + k.Conflict},
	} {
		gometrics.GetOrRegisterGauge(g.name, d.metrics).Update(g.value)
	}
}
