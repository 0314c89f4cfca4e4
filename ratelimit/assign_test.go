package ratelimit

import (
	"fmt"
	"testing"
	"time"
)

// Instances whose lists of allocators are in another order, or lack one that is neither, must
// ask the same allocators; if the primary fails, its backup must follow.
func TestAllocatorsAreAgreed(t *testing.T) {
	all := []string{"a", "b", "c", "d", "e", "f"}
	for i := range 100 {
		key := KeyOf(fmt.Sprint("customer-", i))
		primary, backup := Assign(all, key)
		var reversed, without []string
		for _, a := range all {
			reversed = append([]string{a}, reversed...)
			if a != primary {
				without = append(without, a)
			}
		}
		if p, b := Assign(reversed, key); p != primary || b != backup {
			t.Errorf("%v: %s and %s, in another order %s and %s", key, primary, backup, p, b)
		}
		if p, _ := Assign(without, key); p != backup {
			t.Errorf("%v: without %s the primary is %s, want %s", key, primary, p, backup)
		}
	}
	if p, b := Assign([]string{"a"}, 1); p != "a" || b != "" {
		t.Errorf("of one allocator: %q and %q", p, b)
	}
}

// A part of the fleet that is cut off must allocate only its part of the limits, and a fleet
// that shrank must allocate them whole again.
func TestShareOfCutOffPart(t *testing.T) {
	for _, c := range []struct {
		name        string
		live, known int
		after       time.Duration
		want        float64
	}{
		{"most of it, at once", 80, 0, 0, 0.8},
		{"most of it, for long", 80, 0, majorityHold, 1},
		{"a small part, for a while", 10, 0, majorityHold, 0.1},
		{"a small part, for long", 10, 0, minorityHold, 1},
		{"started alone in a large fleet", 1, 200, majorityHold, 0.005},
	} {
		var s fleetSize
		s.set(0, 100, 0)
		s.set(time.Second, c.live, c.known)
		if got := s.share(time.Second + c.after); got != c.want {
			t.Errorf("%s: share %v, want %v", c.name, got, c.want)
		}
	}
}
