package attempt

import (
	"testing"
	"time"
)

func TestWindowSpare(t *testing.T) {
	w := NewWindow(0, 10, time.Second)
	for i := range 10 {
		if spare := w.Spare(0, 0.5); spare != (i < 5) {
			t.Errorf("after %d of 10 attempts: Spare(0.5) = %v", i, spare)
		}
		if !w.Take(0) {
			t.Errorf("Take refused after %d of 10 attempts", i)
		}
	}
	if w.Take(0) {
		t.Error("Take exceeded the allowance of 10 attempts")
	}
	if !w.Take(3 * time.Second) {
		t.Error("Take refused after the window of the earlier attempts had passed")
	}
}
