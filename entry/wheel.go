package entry

import "time"

// wheel holds the times at which calls want attention (a hashed timing wheel,
// Varghese and Lauck). Timers are not taken out: one whose call has ended is
// passed over when it is due.
type wheel struct {
	slots [wheelSlots][]timer
	// next is the first slot, counted from time zero, not yet passed.
	next int64
}

type timer struct {
	due  time.Duration
	call uint64
}

const (
	wheelSlots = 512
	wheelWidth = 4 * time.Millisecond
)

func (w *wheel) add(due time.Duration, call uint64) {
	slot := max(int64(due/wheelWidth)+1, w.next)
	i := slot % wheelSlots
	w.slots[i] = append(w.slots[i], timer{due: due, call: call})
}

// advance appends the calls whose timers are due to out.
func (w *wheel) advance(now time.Duration, out []uint64) []uint64 {
	last := int64(now / wheelWidth)
	w.next = max(w.next, last-wheelSlots+1)
	for ; w.next <= last; w.next++ {
		out = w.pass(int(w.next%wheelSlots), now, out)
	}
	return out
}

func (w *wheel) pass(i int, now time.Duration, out []uint64) []uint64 {
	keep := w.slots[i][:0]
	for _, t := range w.slots[i] {
		if t.due <= now {
			out = append(out, t.call)
			continue
		}
		keep = append(keep, t)
	}
	w.slots[i] = keep
	return out
}
