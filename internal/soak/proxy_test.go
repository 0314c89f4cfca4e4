package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// trouble is what a proxy does to connections.
type trouble int

const (
	none    trouble = iota
	delay           // each piece comes later
	reset           // connections end at once, old and new
	silence         // nothing passes in either direction
	oneWay          // nothing comes back
	troubles
)

func (t trouble) String() string {
	return [...]string{"none", "delay", "reset", "silence", "one-way"}[t]
}

// proxy passes connections on to a target, with trouble.
type proxy struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	now   trouble
	conns map[net.Conn]bool
}

func newProxy(t *testing.T, addr, target string) *proxy {
	t.Helper()
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{ln: ln, target: target, conns: map[net.Conn]bool{}}
	t.Cleanup(func() {
		ln.Close()
		p.set(reset)
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

func (p *proxy) set(t trouble) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.now = t
	if t == reset {
		for c := range p.conns {
			c.Close()
		}
		clear(p.conns)
	}
}

func (p *proxy) is() trouble {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now
}

func (p *proxy) hold(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
}

func (p *proxy) drop(c net.Conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *proxy) serve(in net.Conn) {
	p.hold(in)
	defer p.drop(in)
	if p.is() == reset {
		return
	}
	out, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	p.hold(out)
	defer p.drop(out)
	done := make(chan struct{}, 2)
	go func() { p.pass(out, in, true); done <- struct{}{} }()
	go func() { p.pass(in, out, false); done <- struct{}{} }()
	<-done
}

const (
	delayed = 120 * time.Millisecond
	lookAt  = 20 * time.Millisecond
)

// pass copies one direction; what is held up by silence is lost when the
// connection ends, as behind a cut.
func (p *proxy) pass(to io.Writer, from io.Reader, forth bool) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		for t := p.is(); t == silence || t == oneWay && !forth; t = p.is() {
			time.Sleep(lookAt)
		}
		if p.is() == delay {
			time.Sleep(delayed)
		}
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
