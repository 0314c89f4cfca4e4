package soak

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// connFault is a fault that a faultProxy applies to its connections.
type connFault int

const (
	faultNone      connFault = iota
	faultDelay               // data is delayed by addedDelay
	faultReset               // existing connections are closed, and new ones right after accept
	faultBlackhole           // no data passes in either direction
	faultOneWay              // no data passes from the target to the client
	faultKinds               // number of faults
)

func (f connFault) String() string {
	return [...]string{"none", "delay", "reset", "silence", "one-way"}[f]
}

// withholds reports whether data is withheld or lost while the fault lasts.
func (f connFault) withholds() bool {
	return f == faultReset || f == faultBlackhole || f == faultOneWay
}

// faultProxy forwards TCP connections to a target and applies the current fault.
type faultProxy struct {
	ln net.Listener

	mu     sync.Mutex
	target string
	fault  connFault
	// withheldUntil is when a fault that withholds or loses data ended last.
	withheldUntil time.Time
	conns         map[net.Conn]bool
	// repeats is set if replies of the target are sent a second time, late.
	repeats bool
	// malforms is set if some replies of the target are changed to malformed ones.
	malforms bool
}

// newFaultProxy starts a proxy on addr that is closed when the test ends.
func newFaultProxy(t *testing.T, addr, target string) *faultProxy {
	t.Helper()
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	p := &faultProxy{ln: ln, target: target, conns: map[net.Conn]bool{}}
	t.Cleanup(func() {
		ln.Close()
		p.setFault(faultReset)
	})
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

// setFault replaces the current fault.
func (p *faultProxy) setFault(f connFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault.withholds() {
		p.withheldUntil = time.Now()
	}
	p.fault = f
	if f == faultReset {
		for c := range p.conns {
			c.Close()
		}
		clear(p.conns)
	}
}

// withheldSince reports whether data may have been withheld or lost since then.
func (p *faultProxy) withheldSince(then time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault.withholds() || p.withheldUntil.After(then)
}

// setTarget makes new connections lead to another target, and closes the others.
func (p *faultProxy) setTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
	for c := range p.conns {
		c.Close()
	}
	clear(p.conns)
}

// setRepeats sets whether replies of the target are sent a second time.
func (p *faultProxy) setRepeats(repeats bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.repeats = repeats
}

// setMalforms sets whether some replies of the target are changed to malformed ones.
func (p *faultProxy) setMalforms(malforms bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.malforms = malforms
}

func (p *faultProxy) currentTarget() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target
}

func (p *faultProxy) currentFault() connFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *faultProxy) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
}

func (p *faultProxy) closeConn(c net.Conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *faultProxy) serve(in net.Conn) {
	p.track(in)
	defer p.closeConn(in)
	if p.currentFault() == faultReset {
		return
	}
	out, err := net.Dial("tcp4", p.currentTarget())
	if err != nil {
		return
	}
	p.track(out)
	defer p.closeConn(out)
	done := make(chan struct{}, 2)
	go func() { p.forward(out, in, true); done <- struct{}{} }()
	go func() { p.forward(in, out, false); done <- struct{}{} }()
	<-done
}

const (
	addedDelay        = 120 * time.Millisecond
	faultPollInterval = 20 * time.Millisecond
)

// forward copies one direction of a connection. Data withheld by a fault is sent
// when the fault ends, or lost if the connection has closed by then, as in a
// network partition.
func (p *faultProxy) forward(to io.Writer, from io.Reader, toTarget bool) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		for f := p.currentFault(); f == faultBlackhole || f == faultOneWay && !toTarget; f = p.currentFault() {
			time.Sleep(faultPollInterval)
		}
		if p.currentFault() == faultDelay {
			time.Sleep(addedDelay)
		}
		if n > 0 {
			data := b[:n]
			if !toTarget {
				data = p.malform(data)
			}
			if _, err := to.Write(data); err != nil {
				return
			}
			if !toTarget {
				p.repeat(to, data)
			}
		}
		if err != nil {
			return
		}
	}
}

// malformations change a reply so that it is none any more.
var malformations = []func(reply string) string{
	func(r string) string { return strings.Replace(r, "HTTP/1.1 200", "HTTP/1.1 000", 1) },
	func(r string) string { return strings.Replace(r, "HTTP/1.1 200", "HTTP/1.1 099", 1) + r },
	func(r string) string { return strings.Replace(r, "Content-Length:", "Content Length:", 1) },
	func(r string) string { return strings.Replace(r, "Content-Length:", "Content-Length :", 1) },
	func(r string) string { return strings.Replace(r, "\r\nDate:", "\r\nX\tNote: a\r\nDate:", 1) },
	func(r string) string { return strings.Replace(r, "\r\nDate:", "\r\n X-Note: a\r\nDate:", 1) },
	func(r string) string { return strings.Replace(r, "\r\n", "\n", 1) },
	func(r string) string { return "\x00\x01" + r },
	func(r string) string { return strings.Repeat(r[:min(len(r), 40)], 1000) },
	func(r string) string { return "HTTP/1.1 200 OK\r\nX-Filler: " + strings.Repeat("x", 1<<20) },
}

// malform returns data, or a malformed reply in its place if it is one. A reply that asks for a
// pause stays as it is, since the check of pauses takes it as read.
func (p *faultProxy) malform(data []byte) []byte {
	p.mu.Lock()
	malforms := p.malforms
	p.mu.Unlock()
	if !malforms || !bytes.HasPrefix(data, []byte("HTTP/1.1 ")) || bytes.Contains(data, []byte("\r\nRetry-After:")) || rand.IntN(4) > 0 {
		return data
	}
	return []byte(malformations[rand.IntN(len(malformations))](string(data)))
}

// maxRepeatDelay is the longest time after which a reply is sent a second time.
const maxRepeatDelay = 120 * time.Millisecond

// repeat sends a reply, if p is one, a second time after a while.
func (p *faultProxy) repeat(to io.Writer, reply []byte) {
	p.mu.Lock()
	repeats := p.repeats
	p.mu.Unlock()
	if !repeats || !bytes.HasPrefix(reply, []byte("HTTP/1.1 ")) || rand.IntN(4) > 0 {
		return
	}
	second := bytes.Clone(reply)
	time.AfterFunc(rand.N(maxRepeatDelay), func() { _, _ = to.Write(second) }) // it may be closed by then
}
