package storetest

import (
	"context"
	"runtime"
)

// Process is a goroutine that blocks before each of its store calls until the
// test calls Step or Kill. If the test steps one process at a time, the order
// of the store calls is deterministic.
type Process struct {
	name     string
	blocked  chan Call
	decision chan decision
	ended    chan struct{}
	next     Call
	done     bool
}

// decision is what the test chose for the call at which a process is blocked.
type decision struct {
	fault Fault
	kill  bool
}

// Go runs f in a new process and returns once the process is blocked at its
// first call or has ended. Its calls have name as their User.
func (s *Store) Go(name string, f func(*Client)) *Process {
	p := &Process{name: name, blocked: make(chan Call), decision: make(chan decision), ended: make(chan struct{})}
	client := s.Client(name, p.awaitDecision)
	go func() {
		defer close(p.ended)
		f(client)
	}()
	p.waitBlocked()
	return p
}

// awaitDecision is the FaultFunc of a process.
func (p *Process) awaitDecision(_ context.Context, c Call) Fault {
	p.blocked <- c
	d := <-p.decision
	if d.kill {
		runtime.Goexit()
	}
	return d.fault
}

// waitBlocked waits until the process is blocked at a call or has ended.
func (p *Process) waitBlocked() {
	select {
	case p.next = <-p.blocked:
	case <-p.ended:
		p.done = true
	}
}

// Name returns the name given to Go.
func (p *Process) Name() string { return p.name }

// Done reports whether the process has ended.
func (p *Process) Done() bool { return p.done }

// Next returns the call at which the process is blocked.
func (p *Process) Next() Call { return p.next }

// Step makes the call at which the process is blocked, with the fault f, and
// returns once the process is blocked at its next call or has ended.
func (p *Process) Step(f Fault) {
	p.decision <- decision{fault: f}
	p.waitBlocked()
}

// Kill ends the process without making the call at which it is blocked.
func (p *Process) Kill() {
	p.decision <- decision{kill: true}
	<-p.ended
	p.done = true
}
