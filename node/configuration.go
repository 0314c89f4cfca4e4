package node

import (
	"github.com/go-kit/log/level"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/catkinrouter/catkinrouter/mirror"
	"github.com/catkinrouter/catkinrouter/route"
)

// applyConfiguration replaces the routes by those of a newer configuration in the
// copy of the store. A deletion, a version that is not newer and a document that
// can't be decoded leave the configuration in force unchanged.
func (n *Node) applyConfiguration(it mirror.Item, source string) {
	if it.Deleted {
		n.storedVersion = 0
		level.Warn(n.log).Log("msg", "configuration ignored", "reason", "deleted in the store", "revision", it.Revision, "source", source)
		return
	}
	if doc := n.decodeConfiguration(it, source); doc != nil {
		n.storedVersion = doc.Version
		n.activate(doc, it, source)
	}
}

// decodeConfiguration returns nil if the item can't be decoded.
func (n *Node) decodeConfiguration(it mirror.Item, source string) *route.Document {
	doc, err := n.adapter.DecodeDocument(it.Value)
	if err != nil {
		gometrics.GetOrRegisterCounter("malformed_total.configuration", n.registry).Inc(1)
		level.Warn(n.log).Log("msg", "configuration ignored", "revision", it.Revision, "source", source, "err", err)
		return nil
	}
	return doc
}

// activate puts a configuration in force if it is newer than the one that is.
func (n *Node) activate(doc *route.Document, it mirror.Item, source string) {
	if n.table != nil && doc.Version <= n.table.Version {
		level.Info(n.log).Log("msg", "configuration ignored", "reason", "not newer", "version", doc.Version, "in_force", n.table.Version, "source", source)
		return
	}
	n.logProblems(doc)
	n.table, n.activeItem = route.NewTable(doc, n.rng), it
	gometrics.GetOrRegisterGauge("configuration_version", n.registry).Update(int64(doc.Version))
	level.Info(n.log).Log("msg", "configuration in force", "version", doc.Version, "revision", it.Revision, "routes", len(doc.Rules),
		"services", len(doc.Services), "source", source)
}

// maxLoggedProblems bounds the problems of one configuration in the log.
const maxLoggedProblems = 20

// logProblems logs what could not be read as written, for the operators who wrote it, and
// sets the number of such fields.
func (n *Node) logProblems(doc *route.Document) {
	gometrics.GetOrRegisterGauge("configuration_problems", n.registry).Update(int64(len(doc.Problems)))
	for _, p := range doc.Problems[:min(len(doc.Problems), maxLoggedProblems)] {
		level.Warn(n.log).Log("msg", "configuration problem", "version", doc.Version, "table", p.Table, "row", p.Row, "name", p.Name,
			"field", p.Field, "why", p.Why, "effect", p.Effect)
	}
	if more := len(doc.Problems) - maxLoggedProblems; more > 0 {
		level.Warn(n.log).Log("msg", "more configuration problems", "version", doc.Version, "problems", more)
	}
}

// ActiveVersion implements fleet.Listener.
func (n *Node) ActiveVersion() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.activeVersion()
}

func (n *Node) activeVersion() uint64 {
	if n.table == nil {
		return 0
	}
	return n.table.Version
}

// LostConfiguration implements fleet.Listener.
func (n *Node) LostConfiguration() (mirror.Item, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.activeItem, n.storedVersion < n.activeVersion()
}

// LostConfigurationReceived implements fleet.Listener.
func (n *Node) LostConfigurationReceived(it mirror.Item, peer string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	// A panic, such as in the decoder, loses this item only; it is logged.
	_ = n.guard.Run("lost configuration", func() {
		if doc := n.decodeConfiguration(it, "peer "+peer); doc != nil {
			n.activate(doc, it, "peer "+peer+", lost by the store")
		}
	})
	n.publish()
}
