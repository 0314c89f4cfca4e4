package agent

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/link"
	"github.com/catkinrouter/catkinrouter/operator"
)

// publishInterval is the time between two snapshots of the status where the
// revision stays.
const publishInterval = time.Second

// operators serves the intent API; a confirmed configuration goes to the Node
// at once.
func (d *Daemon) operators() fasthttp.RequestHandler {
	return operator.Handler(
		config.NewCommitter(d.store), operator.WithStatus(d), operator.WithMetrics(d.metrics),
		operator.WithAccepted(func(h config.Head) {
			d.post(func(n *Node, now time.Duration) []Action { return n.Accept(now, h) })
		}),
	)
}

// Status implements operator.StatusSource with the last snapshot.
func (d *Daemon) Status() operator.Status {
	if s := d.status.Load(); s != nil {
		return *s
	}
	return operator.Status{Instance: d.set.ID}
}

// publish takes a snapshot of the status and the counts where one is due. It
// must be called by the loop.
func (d *Daemon) publish() {
	now := d.now()
	if now < d.published+publishInterval && d.publishedRevision == d.node.sync.status.Revision {
		return
	}
	d.published, d.publishedRevision = now, d.node.sync.status.Revision
	s := operatorStatus(d.set.ID, d.node.Status(now), &d.node.sync.detail)
	d.status.Store(&s)
	d.gauges()
}

func operatorStatus(id string, s Status, entry *link.Status) operator.Status {
	out := operator.Status{
		Instance: id, Revision: s.Revision, Digest: s.Digest,
		StoreReached: s.Store, StoreSilentMillis: s.OwnReadAge.Milliseconds(),
	}
	for _, m := range s.Members {
		out.Instances = append(out.Instances, operator.InstanceStatus{
			ID: m.ID, DataCentre: m.DataCentre, Region: m.Region, Revision: m.Beat.Revision,
			HeardMillis: m.Age.Milliseconds(), Leaving: m.Beat.Leaving,
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

// gauges copies the Node's counts to the metrics.
func (d *Daemon) gauges() {
	t, s, k := d.node.table.Counts(), d.node.spread.counts, d.node.spread.keeper.Counts()
	for _, g := range []struct {
		name  string
		value int64
	}{
		{"members.dropped.silent", t.Silent},
		{"members.dropped.left", t.Left},
		{"members.returned", t.Returned},
		{"members.refused.old", t.Old},
		{"members.refused.full", t.Full},
		{"members.refused.mismatched", t.Mismatched},
		{"members.refused.malformed", t.Malformed},
		{"members.refused.late", t.Late},
		{"members.refuted", t.Refuted},
		{"members.pauses", t.Pauses},
		{"members.live", int64(d.node.table.Live())},
		{"config.revision", int64(d.node.spread.keeper.Version().Revision)},
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
