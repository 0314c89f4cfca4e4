package rendezvous

import (
	"fmt"
	"testing"
)

// Each node has another rank, and a node that leaves changes the order of no
// others.
func TestRankAgrees(t *testing.T) {
	var nodes []string
	for i := range 9 {
		nodes = append(nodes, fmt.Sprint("node-", i))
	}
	for k := range 50 {
		key := fmt.Sprint("key-", k)
		at := map[int]string{}
		for _, n := range nodes {
			at[Rank(n, nodes, key, len(nodes))] = n
		}
		if len(at) != len(nodes) {
			t.Fatalf("%s: %d ranks for %d nodes", key, len(at), len(nodes))
		}
		for i := 1; i < len(nodes); i++ {
			if got := Rank(at[i], nodes[1:], key, len(nodes)); at[i] != nodes[0] && got != i && got != i-1 {
				t.Errorf("%s: rank %d became %d when one node left", key, i, got)
			}
		}
		if got := Rank(at[8], nodes, key, 3); got != 3 {
			t.Errorf("%s: counted to %d, limit 3", key, got)
		}
	}
}
