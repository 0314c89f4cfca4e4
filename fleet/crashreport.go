package fleet

import (
	"bytes"
	"encoding/binary"
	"time"

	"golang.org/x/time/rate"
)

// CrashReport is a datagram about a request under which an upstream crashed, or
// that an upstream answered although it was suspected.
type CrashReport struct {
	Format uint8
	// Content is a digest of the request.
	Content [16]byte
	// Answered is set if the request was answered; the fields of the crash are then
	// 0.
	Answered bool
	// Upstream identifies the incarnation of the upstream that crashed.
	Upstream uint64
	// RanMillis is how long the request had run, AgeMillis the time since the crash or
	// the answer when the report was sent.
	RanMillis, AgeMillis uint32
	// Forward asks the receiver to pass the report on to its data centre.
	Forward bool
}

// crashReportFormat changes with the layout of a CrashReport.
const crashReportFormat = 103

func (r CrashReport) encode() []byte {
	var out bytes.Buffer
	// Writing fixed-size fields to memory cannot fail.
	_ = binary.Write(&out, binary.BigEndian, r)
	return out.Bytes()
}

// decodeCrashReport returns false if p is not a CrashReport.
func decodeCrashReport(p []byte) (r CrashReport, ok bool) {
	if len(p) != binary.Size(r) || p[0] != crashReportFormat {
		return r, false
	}
	return r, binary.Read(bytes.NewReader(p), binary.BigEndian, &r) == nil
}

// Limits of the rates of reports, per second, and of their bursts: sent by this
// instance, and forwarded. Reports about requests under which another upstream crashed
// before have limits of their own, so that a crash of many upstreams, with a first
// report of each request that ran there, does not displace them.
const (
	maxCrashReportsPerSecond  = 40
	maxCrashForwardsPerSecond = 80
)

// crashLimiter limits the rate of reports.
type crashLimiter struct{ first, repeated *rate.Limiter }

func newCrashLimiter(perSecond int) crashLimiter {
	return crashLimiter{rate.NewLimiter(rate.Limit(perSecond), perSecond), rate.NewLimiter(rate.Limit(perSecond), perSecond)}
}

// allow reports whether a report may be sent. suspected is set if it is not the first
// about its request.
func (l crashLimiter) allow(now time.Duration, suspected bool) bool {
	limiter := l.first
	if suspected {
		limiter = l.repeated
	}
	return limiter.AllowN(time.Unix(0, int64(now)), 1)
}

// ReportCrash sends a report to all other instances. suspected is set if it is not the
// first about its request. Reports above the rate limit are dropped: a request that
// crashes one upstream after the other is reported again.
func (f *Fleet) ReportCrash(r CrashReport, suspected bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.crashReports.allow(f.opt.Now(), suspected) {
		return
	}
	r.Format = crashReportFormat
	direct := r.encode()
	r.Forward = true
	f.broadcast(direct, r.encode())
}

// receiveCrashReport handles a report and forwards it to this data centre if the
// sender asks for it.
func (f *Fleet) receiveCrashReport(from string, r CrashReport) {
	forward := r.Forward
	r.Forward = false
	suspected := f.listener.CrashReported(f.opt.Now(), r)
	if !forward {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.crashForwards.allow(f.opt.Now(), suspected) {
		f.sendToDataCentre(r.encode(), from)
	}
}
