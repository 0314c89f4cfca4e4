package entry

import (
	"encoding/binary"
	"maps"
	"time"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/health"
	"github.com/catkinrouter/catkinrouter/quarantine"
)

// minRestart is the least time from a crash of an upstream to its next one: what is
// reported sooner is the same crash, under another call.
const minRestart = 500 * time.Millisecond

// crashCount numbers the crashes of an upstream, which keeps its ID when it restarts.
type crashCount struct {
	last  time.Duration
	count uint64
}

// crashes follows the calls under which upstreams crash.
type crashes struct {
	table *quarantine.Table
	// counts holds the crashes by upstream ID, of configured upstreams only.
	counts map[string]crashCount
}

func newCrashes() crashes {
	return crashes{table: quarantine.New(), counts: map[string]crashCount{}}
}

// incarnation identifies the incarnation of an upstream that crashed at a time.
func (c *crashes) incarnation(id string, at time.Duration) uint64 {
	n, known := c.counts[id]
	if !known || at-n.last >= minRestart {
		n = crashCount{last: at, count: n.count + 1}
		c.counts[id] = n
	}
	key := quarantine.NewContent([]byte(id), binary.BigEndian.AppendUint64(nil, n.count))
	return binary.BigEndian.Uint64(key[:8])
}

// retain forgets the crashes of upstreams that doc does not list.
func (c *crashes) retain(doc *config.Document) {
	listed := map[string]bool{}
	for _, svc := range doc.Services {
		for _, u := range svc.Upstreams {
			listed[u.ID] = true
		}
	}
	maps.DeleteFunc(c.counts, func(id string, _ crashCount) bool { return !listed[id] })
}

// contentOf identifies what a call asks for, whichever of its tries it is and wherever it
// comes from.
func contentOf(c *Call) quarantine.Content {
	digests := binary.BigEndian.AppendUint64(nil, c.Digest)
	digests = binary.BigEndian.AppendUint64(digests, c.CredentialsDigest)
	return quarantine.NewContent([]byte(c.Service), []byte(c.Method), digests)
}

// Crashed reports that an upstream crashed at a time while it ran an attempt of c, sent
// at began. A streamed call can't be recognised and counts for nothing, like an
// upstream that was leaving.
func (n *Node) Crashed(now time.Duration, c Call, upstream string, began, at time.Duration) {
	now = n.advance(now)
	s := n.services[c.Service]
	if c.Streamed || s == nil || s.pool.leaving(upstream) {
		return
	}
	n.crashes.table.RecordCrash(now, quarantine.Crash{
		Content: contentOf(&c), Upstream: n.crashes.incarnation(upstream, at), Began: began, At: at,
	})
}

// quarantinedFor returns how long a call is kept from the upstreams since these crash
// under it, 0 if it is not.
func (n *Node) quarantinedFor(now time.Duration, c *call) time.Duration {
	if c.Streamed || n.crashes.table.Empty() {
		return 0
	}
	until, _ := n.crashes.table.Blocked(now, contentOf(&c.Call))
	return max(0, until-now)
}

// recordAnswered records that an upstream answered a call.
func (n *Node) recordAnswered(now time.Duration, c *call) {
	if !c.Streamed && !n.crashes.table.Empty() {
		n.crashes.table.RecordAnswer(now, now, contentOf(&c.Call))
	}
}

// Quarantined returns the decisions about calls that crash upstreams. wall is the time of
// day at now.
func (n *Node) Quarantined(now time.Duration, wall time.Time) []quarantine.Entry {
	if n.crashes.table.Empty() {
		return nil
	}
	n.crashes.table.Expire(now)
	n.crashes.table.TakeDecisions() // Entries holds them too
	return n.crashes.table.Entries(now, wall)
}

// MergeQuarantined takes decisions of other entries.
func (n *Node) MergeQuarantined(now time.Duration, wall time.Time, entries []quarantine.Entry) {
	n.crashes.table.Merge(n.advance(now), wall, entries)
}

// leaving reports whether an upstream is leaving or unknown.
func (p *Pool) leaving(id string) bool {
	i, ok := p.find(id)
	return !ok || p.upstreams[i].Leaving || p.health.State(i) == health.Leaving
}
