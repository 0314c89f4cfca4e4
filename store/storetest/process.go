package storetest

import (
	"context"
	"runtime"
)

// Process is a goroutine that stops before each of its store calls until the
// test lets it go on. With one Step at a time, runs are deterministic.
type Process struct {
	name    string
	parked  chan Call
	verdict chan verdict
	ended   chan struct{}
	call    Call
	done    bool
}

type verdict struct {
	fault Fault
	kill  bool
}

// Go starts f as a process of the store and returns once it waits at its
// first call or has ended. The name is the user of its calls.
func (s *Store) Go(name string, f func(*Client)) *Process {
	p := &Process{name: name, parked: make(chan Call), verdict: make(chan verdict), ended: make(chan struct{})}
	client := s.Client(name, p.park)
	go func() {
		defer close(p.ended)
		f(client)
	}()
	p.wait()
	return p
}

// park is the Chooser of a process.
func (p *Process) park(_ context.Context, c Call) Fault {
	p.parked <- c
	v := <-p.verdict
	if v.kill {
		runtime.Goexit()
	}
	return v.fault
}

func (p *Process) wait() {
	select {
	case p.call = <-p.parked:
	case <-p.ended:
		p.done = true
	}
}

// Name returns the name that Go was given.
func (p *Process) Name() string { return p.name }

// Done tells whether the process has ended.
func (p *Process) Done() bool { return p.done }

// Next returns the call that the process waits at.
func (p *Process) Next() Call { return p.call }

// Step lets the process make the call that it waits at, with a fault, and
// returns once it waits at the next one or has ended.
func (p *Process) Step(f Fault) {
	p.verdict <- verdict{fault: f}
	p.wait()
}

// Kill ends the process before the call that it waits at.
func (p *Process) Kill() {
	p.verdict <- verdict{kill: true}
	<-p.ended
	p.done = true
}
