package gateway

import (
	"math"
	"slices"
	"testing"
	"time"
)

// Keys that may be withdrawn must not be served, and the instance must turn callers away
// before it refuses them.
func TestKeyFreshness(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		maxAge, age   time.Duration
		ready, serves bool
	}{
		{0, math.MaxInt64, true, true}, // no limit
		{3000 * ms, 0, true, true},
		{3000 * ms, 1799 * ms, true, true},
		{3000 * ms, 1800 * ms, false, true},
		{3000 * ms, 2749 * ms, false, true},
		{3000 * ms, 2750 * ms, false, false},
		{3000 * ms, math.MaxInt64, false, false}, // never confirmed
		{400 * ms, 149 * ms, true, true},
		{400 * ms, 150 * ms, false, false}, // the margin ends before the share
		{200 * ms, 0, false, false},
	} {
		k := keyFreshness{maxAge: c.maxAge}
		if ready, serves := k.ready(c.age), k.serves(c.age); ready != c.ready || serves != c.serves {
			t.Errorf("limit %v, age %v: ready %v, serves keys %v; want %v, %v", c.maxAge, c.age, ready, serves, c.ready, c.serves)
		}
	}
}

// The begin and the end of each state must be told once, with its length.
func TestKeyStates(t *testing.T) {
	var s keyStates
	k := keyFreshness{maxAge: 3 * time.Second}
	for _, step := range []struct {
		now, age time.Duration
		want     []keyStateChange
	}{
		{10 * time.Second, time.Second, nil},
		{11 * time.Second, 2 * time.Second, []keyStateChange{{state: stateUnready, began: true}}},
		{11500 * time.Millisecond, 2500 * time.Millisecond, nil},
		{12 * time.Second, 3 * time.Second, []keyStateChange{{state: stateRefusing, began: true}}},
		{14 * time.Second, 2 * time.Second, []keyStateChange{{state: stateRefusing, lasted: 2 * time.Second}}},
		{15 * time.Second, 0, []keyStateChange{{state: stateUnready, lasted: 4 * time.Second}}},
		{16 * time.Second, time.Second, nil},
	} {
		if got := s.update(step.now, step.age, k); !slices.Equal(got, step.want) {
			t.Errorf("at %v, age %v: %+v, want %+v", step.now, step.age, got, step.want)
		}
	}
}
