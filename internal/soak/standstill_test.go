package soak

import (
	"syscall"
	"time"

	"github.com/catkinrouter/catkinrouter/standin"
)

// Times of standStill. A key is withdrawn as the store is cut off; an instance that takes what it
// finds when it wakes for new would serve it until the end of the cut.
const (
	standstillTime = 2500 * time.Millisecond
	cutAfter       = 700 * time.Millisecond // from the beginning of the standstill
	cutTime        = 5 * time.Second
)

// standStill stops an instance, cuts the store off from all instances meanwhile and withdraws a
// key, in runs with customers. It comes after the faults that are drawn, so that these stay the
// same for a seed.
func (s *soak) standStill() {
	if !s.customers.on {
		return
	}
	time.Sleep(settleTime / 2) // until all copies are new
	in := s.instances[len(s.instances)-1]
	s.t.Logf("pause %s for %v, store: cut off after %v for %v, with a change of the configuration", in.ip, standstillTime, cutAfter, cutTime)
	in.signal(syscall.SIGSTOP)
	time.AfterFunc(standstillTime, func() { in.signal(syscall.SIGCONT) })
	time.Sleep(cutAfter)
	s.kv.SetFaults(standin.KVFaults{Silent: true})
	s.changeConfiguration()
	time.Sleep(cutTime)
	s.kv.SetFaults(standin.KVFaults{})
}
