package node

import (
	"maps"
	"slices"
	"strings"

	"github.com/go-kit/log/level"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/catkinrouter/catkinrouter/discovery"
	"github.com/catkinrouter/catkinrouter/mirror"
)

// evacuations are the data centres whose evacuation was logged: true for those of which
// an upstream is known, false for names that were reported as unknown.
type evacuations map[string]bool

// isEvacuation reports whether a store key says that a data centre is evacuated.
func isEvacuation(prefix, key string) bool {
	return prefix != "" && strings.HasPrefix(key, prefix) && len(key) > len(prefix)
}

// applyEvacuation applies a key that says that a data centre is evacuated. Its value does
// not matter: the key counts while it exists.
func (n *Node) applyEvacuation(it mirror.Item) {
	n.upstreams.SetEvacuated(strings.TrimPrefix(it.Key, n.adapter.Keys.EvacuationPrefix), !it.Deleted)
}

// recordEvacuations logs and counts the evacuations that began or ended. It follows all
// items of an update, since a copy of the store may hold a data centre's key before the
// first of its upstreams.
func (n *Node) recordEvacuations(source string) {
	current := n.upstreams.Evacuations()
	ended := maps.Clone(n.evacuations)
	for _, e := range current {
		delete(ended, e.DataCentre)
		n.recordEvacuation(e, source)
	}
	for _, dc := range slices.Sorted(maps.Keys(ended)) {
		if n.evacuations[dc] {
			gometrics.GetOrRegisterGauge("evacuated."+dc, n.registry).Update(0)
			level.Info(n.log).Log("msg", "evacuation ended", "evacuated", dc, "source", source)
		}
		delete(n.evacuations, dc)
	}
}

// recordEvacuation logs an evacuation once, and again when the first upstream of a data centre
// registers that had none before.
func (n *Node) recordEvacuation(e discovery.Evacuation, source string) {
	known, logged := n.evacuations[e.DataCentre]
	switch {
	case known:
	case n.upstreams.HasDataCentre(e.DataCentre):
		n.evacuations[e.DataCentre] = true
		gometrics.GetOrRegisterGauge("evacuated."+e.DataCentre, n.registry).Update(1)
		level.Info(n.log).Log("msg", "evacuation started", "evacuated", e.DataCentre, "upstreams", len(e.Upstreams), "source", source)
	case !logged:
		n.evacuations[e.DataCentre] = false
		level.Warn(n.log).Log("msg", "evacuation of a data centre without upstreams", "evacuated", e.DataCentre, "source", source)
	}
}
