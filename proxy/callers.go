package proxy

import (
	"bytes"
	"encoding/json"
	"fmt"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/attempt"
	"github.com/catkinrouter/catkinrouter/headers"
	"github.com/catkinrouter/catkinrouter/internal/connlimit"
	"github.com/catkinrouter/catkinrouter/internal/membudget"
)

const (
	// connectionBytes is the memory of a caller's connection with the part of a request's
	// body that is held.
	connectionBytes = 48<<10 + streamThreshold
	// rejectedRetryAfter is the Retry-After of a connection beyond the limit.
	rejectedRetryAfter = time.Second
)

// newCallerLimiter returns the bounds of callers' connections.
func newCallerLimiter(cfg *Settings, memory *membudget.Budget, l log.Logger, registry gometrics.Registry) *connlimit.Limiter {
	most := cfg.MaxCallers
	if most == 0 {
		most = connlimit.MaxCallers(connlimit.Descriptors(0, l))
	}
	limiter := connlimit.NewLimiter(connlimit.Options{
		Name: "callers", Max: most, ConnectionBytes: connectionBytes, Memory: memory,
		Response: func(request []byte) []byte { return rejection(request, cfg.ID) },
	}, registry)
	limiter.SetTimeouts(connlimit.Timeouts{Idle: cfg.IdleTimeout.D(), Header: cfg.HeaderTimeout.D()})
	return limiter
}

// newMemory returns the memory for callers.
func newMemory(cfg *Settings, l log.Logger) *membudget.Budget {
	if cfg.Memory > 0 {
		return membudget.New(cfg.Memory)
	}
	return membudget.New(defaultMemory(l))
}

// memoryShare is the part of the machine's memory that the entry takes as its own if the
// settings say nothing.
const memoryShare = 0.5

// defaultMemory returns the memory of the process in bytes, 0 if it can't be read.
func defaultMemory(l log.Logger) int64 {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		level.Warn(l).Log("msg", "memory of the machine not read: set \"memory\"", "err", err)
		return 0
	}
	return int64(memoryShare * float64(info.Totalram) * float64(info.Unit))
}

// rejection returns the response to the first request of a connection beyond the limit, of
// which the first part was read. Not-run is only said of a request that certainly has no key.
func rejection(request []byte, entryID string) []byte {
	outcome := attempt.Unknown
	header, _, whole := bytes.Cut(request, []byte("\r\n\r\n"))
	if whole && !bytes.Contains(bytes.ToLower(header), bytes.ToLower([]byte(headers.Key))) {
		outcome = attempt.NotRun
	}
	info := refusalFor(reasonTooManyCallers, outcome)
	body, err := json.Marshal(Refusal{Outcome: outcome.String(), Reason: string(reasonTooManyCallers), Remedy: info.remedy})
	if err != nil {
		body = nil
	}
	head := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Type: application/json\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n",
		info.status, fasthttp.StatusMessage(info.status), headers.Outcome, outcome, headers.Reason, reasonTooManyCallers,
		headers.Entry, entryID, fasthttp.HeaderRetryAfter, int(rejectedRetryAfter.Seconds()), len(body))
	return append(head, body...)
}
