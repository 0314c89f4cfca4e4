package standin

import (
	"time"

	"github.com/valyala/fasthttp"
)

// PlatformFaults are the faults that a Platform shows, as JSON over HTTP.
type PlatformFaults struct {
	// Down refuses every call and ends the watches that wait.
	Down bool `json:"down"`
	// ListDown refuses reads of the list.
	ListDown bool `json:"list_down,omitempty"`
	// SlowMillis delays every call, in milliseconds.
	SlowMillis int `json:"slow_ms"`
	// LoseAnswers drops the answers of the next writes after they took
	// effect.
	LoseAnswers int `json:"lose_answers"`
	// LoseCalls drops the next writes before they take effect.
	LoseCalls int `json:"lose_calls,omitempty"`
	// LateWrites drops the answers of the next writes, which take effect
	// LateMillis later.
	LateWrites int `json:"late_writes,omitempty"`
	LateMillis int `json:"late_ms,omitempty"`
	// ListLagMillis is the age of the list's answers, in milliseconds.
	ListLagMillis int `json:"list_lag_ms"`
}

// ofStore returns the faults that one call of the store meets.
func (f PlatformFaults) ofStore() KVFaults {
	out := KVFaults{Slow: millis(f.SlowMillis)}
	switch {
	case f.Down:
		out.Status = fasthttp.StatusServiceUnavailable
	case f.LoseCalls > 0:
		out.Reset = true
	case f.LateWrites > 0:
		out.LateWrites = max(millis(f.LateMillis), time.Millisecond)
	case f.LoseAnswers > 0:
		out.LoseWrites = true
	}
	return out
}
