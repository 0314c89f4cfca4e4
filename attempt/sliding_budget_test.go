package attempt

import (
	"testing"
	"time"
)

func TestSlidingBudgetHasHeadroom(t *testing.T) {
	b := NewSlidingBudget(0, 10, time.Second)
	for i := range 10 {
		if ok := b.HasHeadroom(0, 0.5); ok != (i < 5) {
			t.Errorf("after %d of 10 attempts: HasHeadroom(0.5) = %v", i, ok)
		}
		if !b.Take(0) {
			t.Errorf("Take refused after %d of 10 attempts", i)
		}
	}
	if b.Take(0) {
		t.Error("Take exceeded the allowance of 10 attempts")
	}
	if !b.Take(3 * time.Second) {
		t.Error("Take refused after the window of the earlier attempts had passed")
	}
}
