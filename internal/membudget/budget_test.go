package membudget

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

const memory = 100 << 20

// Large bodies of one use must leave room for the other uses, and for small bodies of all.
func TestEachUseLeavesRoomForTheOthers(t *testing.T) {
	for _, filler := range []Use{Requests, Replies} {
		b := New(memory)
		var all []*Reservation
		for {
			r := b.Begin(filler, 0)
			if err := r.GrowTo(min(r.Limit(), 1<<20)); err != nil {
				break
			}
			all = append(all, &r)
		}
		for _, u := range []Use{Requests, Replies} {
			small := b.Begin(u, 0)
			if err := small.GrowTo(SmallBytes); err != nil && u != filler {
				t.Errorf("full of %s: a small body of %s: %v", filler, u, err)
			}
			small.Close()
		}
		if !b.Fits(Connections, 64<<10) {
			t.Errorf("full of %s: no connection fits", filler)
		}
		other := b.Begin(Requests+Replies-filler, 0)
		if err := other.GrowTo(other.Limit() / 2); err != nil {
			t.Errorf("full of %s: half of the largest body of another use: %v", filler, err)
		}
		for _, r := range all {
			r.Close()
		}
		if n := b.Taken(filler); n != 0 {
			t.Errorf("%d bytes of %s are taken at the end", n, filler)
		}
	}
}

// Connections beyond what fits, which are closed soon, leave less for bodies and no error.
func TestConnectionsCountAgainstBodies(t *testing.T) {
	b := New(memory)
	b.Set(Connections, b.Total()*7/10)
	if b.Fits(Connections, 1) {
		t.Error("connections take more than their share")
	}
	r := b.Begin(Requests, 0)
	if err := r.GrowTo(r.Limit()); !errors.Is(err, ErrExhausted) {
		t.Errorf("the largest body beside them: %v", err)
	}
	b.Set(Connections, 0)
	if err := r.GrowTo(r.Limit()); err != nil {
		t.Errorf("after they have gone: %v", err)
	}
	if err := r.GrowTo(r.Limit() + 1); !errors.Is(err, ErrTooLarge) {
		t.Errorf("one byte more: %v", err)
	}
}

// Whatever grows and ends in any order, no more than the budget is taken, and what is taken is
// the sum of the reservations.
func TestBudgetHoldsTheSumOfItsReservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(rapid.Int64Range(1<<20, 1<<30).Draw(t, "memory"))
		var open []*Reservation
		var sizes []int64
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch i := rapid.IntRange(-1, len(open)-1).Draw(t, "which"); {
			case i < 0:
				r := b.Begin(rapid.SampledFrom([]Use{Requests, Replies}).Draw(t, "use"), rapid.Int64Range(0, b.Total()).Draw(t, "limit"))
				open, sizes = append(open, &r), append(sizes, 0)
			case rapid.Bool().Draw(t, "ends"):
				open[i].Close()
				sizes[i] = 0
			default:
				n := rapid.Int64Range(sizes[i], b.Total()).Draw(t, "bytes")
				if open[i].GrowTo(n) == nil {
					sizes[i] = n
				}
			}
			var sum int64
			for _, n := range sizes {
				sum += n
			}
			if taken := b.Taken(Requests) + b.Taken(Replies); taken != sum || taken > b.Total() {
				t.Fatalf("%d bytes taken of %d, reservations hold %d", taken, b.Total(), sum)
			}
		}
	})
}
