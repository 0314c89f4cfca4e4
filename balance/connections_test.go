package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// TestConnectionsOverFleet checks that the connections of all entries to an
// upstream never exceed what it allows, whichever entries each of them sees as
// live.
func TestConnectionsOverFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 160).Draw(t, "max entries")
		running := rapid.IntRange(1, size).Draw(t, "running")
		allowed := rapid.IntRange(1, 2*subsetConnections*size).Draw(t, "allowed")
		upstream := rapid.StringMatching("[a-z]{1,8}").Draw(t, "upstream")
		seen := rapid.Float64Range(0, 1).Draw(t, "chance to see another")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "views"), 1))
		// During a replacement the other entries still see the replaced ones.
		replaced := rapid.Bool().Draw(t, "replacement")
		if replaced {
			running, seen = size, 1
		}
		sum := 0
		for e := range running {
			f := Fleet{Self: entryID(e), Max: size}
			gone := rng.IntN(unseenReplacements + 1)
			if replaced {
				gone = min(unseenReplacements, size-1)
			}
			for o := range running {
				switch {
				case o == e, replaced && o >= gone:
					f.Live = append(f.Live, entryID(o))
				case !replaced && rng.Float64() < seen:
					f.Live = append(f.Live, entryID(o))
				}
			}
			for g := range gone {
				f.Live = append(f.Live, entryID(1000+g))
			}
			n, _ := f.ConnectionLimit(upstream, allowed)
			sum += n
		}
		if sum > allowed {
			t.Fatalf("%d running entries of at most %d hold %d connections, want at most %d", running, size, sum, allowed)
		}
	})
}

func entryID(i int) string { return fmt.Sprint("entry-", i) }

func fleetOf(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = entryID(i)
	}
	return ids
}

// TestConnectionsAtSize checks that with 250 connections per upstream a fleet of
// 18 entries (at most 19) needs no subsets, and that with subsets in a fleet of
// 160 each entry gets at least a tenth of 480 upstreams and each upstream at
// least 225 connections.
func TestConnectionsAtSize(t *testing.T) {
	if n, in := (Fleet{Self: entryID(0), Live: fleetOf(18), Max: 19}).ConnectionLimit("u", 250); n != 13 || !in {
		t.Fatalf("limit %d, %v with 19 entries; want 13, true", n, in)
	}
	const entries, upstreams = 160, 480
	live := fleetOf(entries)
	perUpstream := make([]int, upstreams)
	for e := range entries {
		f := Fleet{Self: entryID(e), Live: live, Max: entries}
		held := 0
		for u := range upstreams {
			n, in := f.ConnectionLimit(fmt.Sprint("u", u), 250)
			perUpstream[u] += n
			if in {
				held++
			}
		}
		if held < upstreams/10 {
			t.Errorf("entry %d holds %d of %d upstreams", e, held, upstreams)
		}
	}
	for u, n := range perUpstream {
		if n > 250 || n < 225 {
			t.Errorf("upstream %d has %d connections, want 225 to 250", u, n)
		}
	}
}

// TestConnectionsChurn checks that a new entry changes the subset of at most one
// other entry for each upstream.
func TestConnectionsChurn(t *testing.T) {
	const entries, upstreams = 150, 48
	before, after := fleetOf(entries), fleetOf(entries+1)
	for u := range upstreams {
		id := fmt.Sprint("u", u)
		changed := 0
		for e := range entries {
			_, a := Fleet{Self: entryID(e), Live: before, Max: 160}.ConnectionLimit(id, 250)
			_, b := Fleet{Self: entryID(e), Live: after, Max: 160}.ConnectionLimit(id, 250)
			if a != b {
				changed++
			}
		}
		if changed > 1 {
			t.Errorf("upstream %s: the subsets of %d entries changed with one new entry, want at most 1", id, changed)
		}
	}
}
