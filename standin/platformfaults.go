package standin

import (
	"time"

	"github.com/valyala/fasthttp"
)

// PlatformFaults are the faults to inject into a Platform; FaultsPath takes them
// as JSON.
type PlatformFaults struct {
	// Down makes every call fail with status 503 and ends waiting watches.
	Down bool `json:"down"`
	// ListDown makes reads of the list fail with status 503.
	ListDown bool `json:"list_down,omitempty"`
	// SlowMillis delays every call, in milliseconds.
	SlowMillis int `json:"slow_ms"`
	// LoseResponses is the number of next writes that take effect but get no
	// response.
	LoseResponses int `json:"lose_answers"`
	// LoseRequests is the number of next writes that neither take effect nor get a
	// response.
	LoseRequests int `json:"lose_calls,omitempty"`
	// DelayedWrites is the number of next writes that get no response and take
	// effect only LateMillis milliseconds later.
	DelayedWrites int `json:"late_writes,omitempty"`
	LateMillis    int `json:"late_ms,omitempty"`
	// ListLagMillis is the age of the list that reads return, in milliseconds.
	ListLagMillis int `json:"list_lag_ms"`
}

// kvFaults returns the faults of one call to the store.
func (f PlatformFaults) kvFaults() KVFaults {
	out := KVFaults{Slow: millis(f.SlowMillis)}
	switch {
	case f.Down:
		out.Status = fasthttp.StatusServiceUnavailable
	case f.LoseRequests > 0:
		out.Reset = true
	case f.DelayedWrites > 0:
		out.WriteDelay = max(millis(f.LateMillis), time.Millisecond)
	case f.LoseResponses > 0:
		out.DropWriteResponses = true
	}
	return out
}
