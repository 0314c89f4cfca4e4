package attempt

import (
	"testing"
	"time"
)

func TestWindowSpare(t *testing.T) {
	w := NewWindow(0, 10, time.Second)
	for i := range 10 {
		if spare := w.Spare(0, 0.5); spare != (i < 5) {
			t.Errorf("after %d: spare %v", i, spare)
		}
		if !w.Take(0) {
			t.Errorf("refused after %d of 10", i)
		}
	}
	if w.Take(0) {
		t.Error("took more than the allowance")
	}
	if !w.Take(3 * time.Second) {
		t.Error("refused after the span")
	}
}
