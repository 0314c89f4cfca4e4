package standin

import (
	"net"
	"time"
)

// UpstreamFaults are the faults to inject into an Upstream.
type UpstreamFaults struct {
	// Slow is a factor of service times. Values below 1 count as 1.
	Slow float64 `json:"slow,omitempty"`
	// ColdMillis is the time, in milliseconds from the moment at which the
	// faults are set, in which service times fall from coldFactor times the
	// usual to the usual.
	ColdMillis int `json:"cold_ms,omitempty"`
	// FailFast returns status 500 at once. The load report then stays low,
	// since failed requests take no slot.
	FailFast bool `json:"fail_fast,omitempty"`
	// Drain sets the header Catkin-Leaving on responses.
	Drain bool `json:"drain,omitempty"`
	// ReportLagMillis is the age of the load that is reported, in milliseconds.
	ReportLagMillis int `json:"report_lag_ms,omitempty"`
	// PauseSeconds sheds each request and asks for a pause of that many seconds.
	PauseSeconds float64 `json:"pause_s,omitempty"`
	// LoseReplies runs each request and closes the connection without a
	// response.
	LoseReplies bool `json:"lose_replies,omitempty"`
}

// coldFactor is the factor of service times on an upstream that has just started.
const coldFactor = 4

// slowdown returns the factor of service times, at a time after the faults were
// set.
func (f UpstreamFaults) slowdown(since time.Duration) float64 {
	x := max(f.Slow, 1)
	cold := time.Duration(f.ColdMillis) * time.Millisecond
	if since < cold {
		left := 1 - float64(since)/float64(cold)
		x *= 1 + (coldFactor-1)*left
	}
	return x
}

// valueHistory stores past values of a number, oldest first.
type valueHistory struct {
	samples []sample
}

type sample struct {
	at    time.Time
	value int64
}

// read adds the value at now and returns the value of lag ago, or the oldest one
// stored.
func (h *valueHistory) read(now time.Time, lag time.Duration, value int64) int64 {
	h.samples = append(h.samples, sample{now, value})
	for len(h.samples) > 1 && now.Sub(h.samples[1].at) >= lag {
		h.samples = h.samples[1:]
	}
	return h.samples[0].value
}

func closeConn(c net.Conn) { c.Close() }
