package entry

import "time"

// timingWheel is a hashed timing wheel (Varghese and Lauck) of the times at
// which calls need handling. Timers are not removed early: the timer of a call
// that has ended fires and is ignored.
type timingWheel struct {
	slots [wheelSlots][]timer
	// nextSlot is the first slot that has not expired, counted from time zero
	// without wrapping around.
	nextSlot int64
}

type timer struct {
	due  time.Duration
	call uint64
}

const (
	wheelSlots = 512
	wheelTick  = 4 * time.Millisecond
)

// add schedules a timer. Its slot is one past that of due, so that the timer is
// due when the slot expires.
func (w *timingWheel) add(due time.Duration, call uint64) {
	slot := max(int64(due/wheelTick)+1, w.nextSlot)
	i := slot % wheelSlots
	w.slots[i] = append(w.slots[i], timer{due: due, call: call})
}

// advance moves the wheel to now and appends the IDs of calls with due timers
// to out.
func (w *timingWheel) advance(now time.Duration, out []uint64) []uint64 {
	last := int64(now / wheelTick)
	w.nextSlot = max(w.nextSlot, last-wheelSlots+1)
	for ; w.nextSlot <= last; w.nextSlot++ {
		out = w.expireSlot(int(w.nextSlot%wheelSlots), now, out)
	}
	return out
}

// expireSlot removes the due timers of slot i. Timers of later rounds stay.
func (w *timingWheel) expireSlot(i int, now time.Duration, out []uint64) []uint64 {
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
