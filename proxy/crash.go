package proxy

import (
	"time"

	"github.com/catkinrouter/catkinrouter/entry"
	"github.com/catkinrouter/catkinrouter/internal/crashcheck"
)

const (
	// maxCrashChecks bounds the checks in progress.
	maxCrashChecks = 128
	// crashCheckTimeout bounds the connection attempt of a check.
	crashCheckTimeout = 250 * time.Millisecond
)

// checkCrash finds out whether the upstream of an attempt, which ended with a broken
// connection, has crashed, and tells the Node.
func (s *Server) checkCrash(c *call, t *callAttempt, began time.Time, r *entry.Result) {
	if !r.MayHaveSent || t.step.Kind != entry.StepSend || !crashcheck.BrokeOff(r.Err) {
		return
	}
	if s.crashChecks.Add(1) > maxCrashChecks {
		s.crashChecks.Add(-1)
		return
	}
	request, upstream, address := c.ec, t.step.Upstream, t.step.Address
	at := s.now()
	sentAt := at - time.Since(began)
	go func() {
		defer s.crashChecks.Add(-1)
		time.Sleep(crashcheck.Delay)
		if crashcheck.Refuses(address, crashCheckTimeout) {
			s.d.crashed(request, upstream, sentAt, at)
		}
	}()
}
