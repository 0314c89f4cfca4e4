package attempt

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBudget checks that extra attempts never exceed their share of the calls
// plus the burst, for random sequences of calls and failures.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		b := NewBudget(share)
		calls, extra := 0, 0
		for _, call := range rapid.SliceOfN(rapid.Bool(), 1, 400).Draw(t, "events") {
			if call {
				calls++
				b.Deposit()
			} else if b.Take() {
				extra++
			}
			if float64(extra) > share*float64(calls)+budgetBurst+1e-6 {
				t.Fatalf("%d extra attempts for %d calls, budget share %v", extra, calls, share)
			}
		}
	})
}

func TestQuantile(t *testing.T) {
	var q Quantile
	for i := range 20000 {
		q.Add(time.Duration(1+i*7919%1000)*time.Millisecond, 0.95)
	}
	if v, ok := q.Value(); !ok || v < 850*time.Millisecond || v > 1000*time.Millisecond {
		t.Errorf("0.95 quantile of 1ms to 1s: got %v, want 850ms to 1s", v)
	}
}
