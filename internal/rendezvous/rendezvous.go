// Package rendezvous ranks nodes for a key such that all who know the same nodes
// agree, and a change of the nodes moves few keys (D. Thaler and C. Ravishankar,
// "Using name-based mappings to increase hit rates", 1998).
package rendezvous

import "github.com/cespare/xxhash/v2"

// Hash returns the weight of a node for a key; the node with the highest one
// ranks first.
func Hash(node, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range [...]string{node, "\x00", key} {
		_, _ = d.WriteString(s) // never fails
	}
	return d.Sum64()
}

// Rank returns the number of other nodes that rank before self for the key. Nodes
// of equal weight rank by name. It stops counting at limit.
func Rank(self string, nodes []string, key string, limit int) int {
	rank, own := 0, Hash(self, key)
	for _, n := range nodes {
		if rank >= limit {
			break
		}
		if n == self {
			continue
		}
		if h := Hash(n, key); h > own || h == own && n < self {
			rank++
		}
	}
	return rank
}
