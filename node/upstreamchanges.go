package node

import (
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/catkinrouter/catkinrouter/discovery"
	"github.com/catkinrouter/catkinrouter/fleet"
	"github.com/catkinrouter/catkinrouter/store"
)

// upstreamChanges counts the effects of one update. Each change is logged by the
// instances that read it from the store; the others only log these counts, so that
// the volume of logs does not grow with upstreams times instances.
type upstreamChanges struct {
	added, draining, removed int
	lastRevision             store.Revision
}

func (c *upstreamChanges) count(change discovery.Change, revision store.Revision) {
	c.lastRevision = max(c.lastRevision, revision)
	switch change {
	case discovery.Added:
		c.added++
	case discovery.Draining:
		c.draining++
	case discovery.Gone, discovery.Lapsed:
		c.removed++
	case discovery.Ignored, discovery.Updated:
	}
}

func (c *upstreamChanges) log(l log.Logger, source string) {
	if source != fleet.SourceStore && c.added+c.draining+c.removed > 0 {
		level.Info(l).Log("msg", "upstreams changed", "added", c.added, "draining", c.draining, "removed", c.removed,
			"last_revision", c.lastRevision, "source", source)
	}
}
