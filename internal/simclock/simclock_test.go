package simclock

import (
	"slices"
	"testing"
	"time"
)

func TestEventsHappenInOrder(t *testing.T) {
	var c Clock
	var got []int
	note := func(n int) func() { return func() { got = append(got, n) } }
	c.At(2*time.Second, note(3))
	c.At(time.Second, note(1))
	c.At(time.Second, func() {
		note(2)()
		c.At(0, note(20)) // in the past: now
		c.After(5*time.Second, note(5))
	})
	c.At(3*time.Second, note(4))
	c.RunUntil(2 * time.Second)
	if want := []int{1, 2, 20, 3}; !slices.Equal(got, want) || c.Now != 2*time.Second {
		t.Errorf("%v at %v, want %v", got, c.Now, want)
	}
	c.RunUntil(10 * time.Second)
	if want := []int{1, 2, 20, 3, 4, 5}; !slices.Equal(got, want) || c.Now != 10*time.Second {
		t.Errorf("%v at %v, want %v", got, c.Now, want)
	}
}
