// Command case2 sends claims to a service with two servers. One of them crashes and is back
// with a new id, and sends a second, late copy of a few of its answers.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/catkinrouter/catkinrouter/platform"
	"github.com/catkinrouter/catkinrouter/review/kit"
)

const (
	host     = "pistas.example"
	service  = "premios"
	deadline = 1200 * time.Millisecond
	// warmUp is long enough for the instance to have its part of the retry budget.
	warmUp      = 11 * time.Second
	cycles      = 10
	cycleTime   = 7500 * time.Millisecond
	downTime    = time.Second
	requestGap  = 40 * time.Millisecond
	servers     = 2
	slots       = 6
	work        = 94 * time.Millisecond
	coldTime    = 3 * time.Second
	coldFactor  = 2.0
	noiseFactor = 5.0
	noiseShare  = 0.25
	noiseTime   = 150 * time.Millisecond
	heartbeat   = 1500 * time.Millisecond
	// answersPerCopy is 1/0.03: of 34 answers to requests, one may be sent a second time.
	answersPerCopy = 34
	maxCopyDelay   = 120 * time.Millisecond
)

func main() {
	s, err := kit.NewSite(os.Args[1])
	if err != nil {
		fmt.Println("NOT RUN:", err)
		os.Exit(kit.NotRun)
	}
	// run returns only if the case can't go on.
	s.Exit(kit.NotRun, "%v", run(s))
}

func run(s *kit.Site) error {
	err := s.PutConfig(kit.Config{Version: 5, Services: []string{service}, Routes: []kit.Route{
		{Name: "claims", Host: host, Prefix: "/reclamo/", Kind: kit.Unsafe, Service: service, TimeoutMs: 1200, TargetMs: 300, Priority: 0, MaxAttempts: 2},
	}})
	if err != nil {
		return err
	}
	var boxes []*box
	for i := range servers {
		b, err := newBox(s, i)
		if err != nil {
			return err
		}
		if err := b.start(); err != nil {
			return err
		}
		boxes = append(boxes, b)
	}
	b := boxes[0]
	in, err := s.AddInstance("")
	if err != nil {
		return err
	}
	if !in.WaitReady(10 * time.Second) {
		return fmt.Errorf("the instance is not ready within 10 s:\n%s", in.LogTail(5))
	}
	time.Sleep(warmUp)
	refused := map[string]kit.Reply{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	n := 0
	for range cycles {
		if kit.Trouble() {
			b.crash()
			time.Sleep(downTime)
			if err := b.start(); err != nil {
				return err
			}
		}
		for end := time.Now().Add(cycleTime); time.Now().Before(end); time.Sleep(requestGap) {
			n++
			id := fmt.Sprintf("rec1amo%08x", n)
			wg.Add(1)
			go func() {
				defer wg.Done()
				s.Log("client sends %s", id)
				r := kit.Call(in.Front, http.MethodPut, "/reclamo/"+id, host, id, deadline, []byte("premio=1"))
				s.Log("client gets for %s: %v", id, r)
				if r.Err == nil && (r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests) {
					mu.Lock()
					refused[id] = r
					mu.Unlock()
				}
			}()
		}
	}
	wg.Wait()
	broken := 0
	for _, b := range boxes {
		b.mu.Lock()
		for id := range refused {
			if server, ran := b.runs[id]; ran {
				broken++
				s.Log("%s was answered %d, and ran at %s", id, refused[id].Status, server)
			}
		}
		s.Log("server %d sent %d answers to requests and %d late copies", b.index, b.answers, b.copies)
		b.mu.Unlock()
	}
	s.Log("%d requests, %d refused, %d of them ran", n, len(refused), broken)
	if broken > 0 {
		s.Exit(kit.Broken, "%d of %d refused requests of an unsafe route have run (REFUSED)", broken, len(refused))
	}
	s.Exit(kit.Held, "none of %d refused requests has run", len(refused))
	return nil
}

// box is a server of the service: at each start a new incarnation with a new id at
// the same address.
type box struct {
	site    *kit.Site
	index   int
	address string

	mu      sync.Mutex
	n       int
	id      string
	ln      net.Listener
	born    time.Time
	conns   map[net.Conn]bool
	running int
	slow    bool
	slowEnd time.Time
	runs    map[string]string
	answers int
	copies  int
}

func newBox(s *kit.Site, index int) (*box, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer ln.Close()
	return &box{site: s, index: index, address: ln.Addr().String(), runs: map[string]string{}}, nil
}

// start starts an incarnation. Its entry ends after three heartbeats of silence.
func (b *box) start() error {
	ln, err := net.Listen("tcp4", b.address)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.n++
	id := fmt.Sprintf("i-%s-%d-%d", service, b.index, b.n)
	b.id, b.ln, b.born, b.conns = id, ln, time.Now(), map[net.Conn]bool{}
	b.mu.Unlock()
	b.site.Log("the server starts as %s at %s", id, b.address)
	go b.serve(ln, id)
	go b.register(id)
	return nil
}

// crash ends the incarnation without a word.
func (b *box) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.site.Log("%s crashes", b.id)
	b.ln.Close()
	for c := range b.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	b.id, b.running = "", 0
}

func (b *box) register(id string) {
	entry := kit.Entry{ID: id, Service: service, Address: b.address, Slots: slots, State: "ready", Born: time.Now().UnixMilli()}
	for {
		b.mu.Lock()
		alive := b.id == id
		b.mu.Unlock()
		if !alive {
			break
		}
		entry.Sequence++
		b.site.PutEntry(entry)
		time.Sleep(heartbeat)
	}
	time.Sleep(2 * heartbeat) // with the last one before, three intervals of silence
	b.site.RemoveEntry(id)
}

func (b *box) serve(ln net.Listener, id string) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		if b.id == id {
			b.conns[c] = true
		}
		b.mu.Unlock()
		go b.serveConn(&serverConn{Conn: c}, id)
	}
}

// serverConn is a connection on which whole answers are written.
type serverConn struct {
	net.Conn
	mu sync.Mutex
}

func (c *serverConn) answer(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = io.WriteString(c, text)
}

func (b *box) serveConn(c *serverConn, id string) {
	defer c.Close()
	p := platform.Protocol()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		attempt := req.Header.Get(p.RequestID)
		switch {
		case attempt == "":
			c.answer(b.head(http.StatusOK, p.UpstreamID+": "+id, "") + "\r\n")
		case req.Header.Get(p.ExpectUpstream) != id:
			text := b.head(http.StatusMisdirectedRequest, p.RequestID+": "+attempt, p.UpstreamID+": "+id) + "\r\n"
			b.site.Log("%s turns %s away: it is for %s", id, attempt, req.Header.Get(p.ExpectUpstream))
			c.answer(text)
			if b.mayCopy() {
				time.AfterFunc(rand.N(maxCopyDelay), func() {
					b.site.Log("%s sends its answer to %s a second time", id, attempt)
					c.answer(text)
				})
			}
		default:
			if !b.run(c, id, attempt) {
				return
			}
		}
	}
}

// run runs a request, or turns it away while all slots are taken.
func (b *box) run(c *serverConn, id, attempt string) bool {
	p := platform.Protocol()
	b.mu.Lock()
	if b.running >= slots {
		b.mu.Unlock()
		b.mayCopy()
		c.answer(b.head(http.StatusServiceUnavailable, p.NotRun+": 1", p.RequestID+": "+attempt) + "\r\n")
		return true
	}
	b.running++
	b.runs[attempt] = id
	b.mu.Unlock()
	b.site.Log("%s runs %s", id, attempt)
	time.Sleep(time.Duration(b.pace() * float64(work)))
	b.mu.Lock()
	alive := b.id == id
	if alive {
		b.running--
	}
	b.answers++
	b.mu.Unlock()
	if !alive {
		return false
	}
	b.site.Log("%s answers %s", id, attempt)
	c.answer(b.head(http.StatusOK, p.RequestID+": "+attempt, p.Signature+": "+id) + "\r\n")
	return true
}

// mayCopy counts an answer that turns a request away, and reports whether one more answer
// may be sent a second time.
func (b *box) mayCopy() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answers++
	if !kit.Trouble() || (b.copies+1)*answersPerCopy > b.answers {
		return false
	}
	b.copies++
	return true
}

// pace returns how much longer work takes now: a server that has just started is slow, and
// so are those that share their machine with others, at times.
func (b *box) pace() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := time.Now(); now.After(b.slowEnd) {
		b.slow, b.slowEnd = rand.Float64() < noiseShare, now.Add(noiseTime)
	}
	pace := 1.0
	if b.slow {
		pace = noiseFactor
	}
	if time.Since(b.born) < coldTime && b.n > 1 {
		pace *= coldFactor
	}
	return pace
}

// head returns the head of an answer without a body, up to the empty line.
func (b *box) head(status int, headers ...string) string {
	pace := b.pace()
	b.mu.Lock()
	n := b.running
	b.mu.Unlock()
	var out strings.Builder
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n%s: %d,0,%d,%d\r\n", status, http.StatusText(status), platform.Protocol().Load, n, slots, int(100*pace))
	for _, h := range headers {
		if h != "" {
			out.WriteString(h + "\r\n")
		}
	}
	return out.String()
}
