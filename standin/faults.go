package standin

import (
	"net"
	"time"
)

// UpstreamFaults are the faults that an Upstream shows.
type UpstreamFaults struct {
	// Slow multiplies service times; 0 and 1 leave them.
	Slow float64 `json:"slow,omitempty"`
	// ColdMillis is the time in which service times fall from four times
	// the usual to the usual.
	ColdMillis int `json:"cold_ms,omitempty"`
	// FailFast answers status 500 at once, with a report of low load.
	FailFast bool `json:"fail_fast,omitempty"`
	// Drain answers with the leaving mark.
	Drain bool `json:"drain,omitempty"`
	// ReportLagMillis is the age of the load report.
	ReportLagMillis int `json:"report_lag_ms,omitempty"`
	// LoseReplies closes the connection after running each request.
	LoseReplies bool `json:"lose_replies,omitempty"`
}

// coldFactor is how much slower an upstream that has just started is.
const coldFactor = 4

// factor is what service times are multiplied by, a time after the faults
// were switched on.
func (f UpstreamFaults) factor(since time.Duration) float64 {
	x := max(f.Slow, 1)
	cold := time.Duration(f.ColdMillis) * time.Millisecond
	if since < cold {
		left := 1 - float64(since)/float64(cold)
		x *= 1 + (coldFactor-1)*left
	}
	return x
}

// lagged remembers a number's past values.
type lagged struct {
	seen []sample
}

type sample struct {
	at    time.Time
	value int64
}

// read notes the value now and returns the one of lag ago.
func (l *lagged) read(now time.Time, lag time.Duration, value int64) int64 {
	l.seen = append(l.seen, sample{now, value})
	for len(l.seen) > 1 && now.Sub(l.seen[1].at) >= lag {
		l.seen = l.seen[1:]
	}
	return l.seen[0].value
}

func closeConn(c net.Conn) { c.Close() }
