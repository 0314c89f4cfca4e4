package soak

import (
	"fmt"
	"strings"
	"time"
)

// oddEntries are written by another program among the entries of the upstreams.
var oddEntries = []string{
	strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000),
	`{"service":"s1","address":"127.0.0.1:70000","zone":"z","slots":6,"state":"ready","sequence":1}`,
	`{"service":"s1","address":"127.0.0.1:80","zone":"z","slots":1e999,"state":"ready","sequence":1}`,
	"\x00\xff",
}

// largeBody is the size of a large body in bytes.
const largeBody = 12 << 20

// injectOddity sometimes writes an odd entry, makes an upstream repeat replies or send malformed
// ones, lets another one take over its address, or sends large bodies. It draws from numbers of its own, so
// that the other faults of a seed stay the same.
func (s *soak) injectOddity() {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.upstreams[len(s.upstreams)-1-s.oddRNG.IntN(2)]
	switch s.oddRNG.IntN(6) {
	case 0:
		i := s.oddRNG.IntN(len(oddEntries))
		s.t.Logf("odd entry %d among the upstreams'", i)
		s.kv.Put(fmt.Sprintf("servers/odd-%d", i), []byte(oddEntries[i]))
	case 1:
		s.t.Logf("upstream %s repeats replies", u.id)
		u.proxy.setRepeats(true)
	case 2:
		s.replace(u)
	case 3:
		in := s.instances[s.oddRNG.IntN(len(s.instances))]
		s.t.Logf("large bodies to %s", in.ip)
		for i := range 4 {
			id := fmt.Sprintf("buy-large-%d-%d", s.upstreamCount, s.oddRNG.IntN(1<<30)+i)
			s.ledger.mu.Lock()
			s.ledger.bodySizes[id] = largeBody
			s.ledger.mu.Unlock()
			go s.request(in, "buy", id, largeBody)
		}
	case 4:
		s.t.Logf("upstream %s sends malformed replies", u.id)
		u.proxy.setMalforms(true)
	}
}

// replace lets an upstream crash, and another one come back at its address, which repeats
// replies. The entry of the first ends a second later. The caller holds the lock.
func (s *soak) replace(u *upstream) {
	u.mu.Lock()
	state := u.state
	u.state = ""
	u.mu.Unlock()
	if state != "ready" {
		return
	}
	s.upstreamCount++
	next := newUpstream(s.t, s.ledger, fmt.Sprintf("i-%d", s.upstreamCount), u.version, s.evacuation, u.dataCentre)
	s.t.Logf("upstream %s crashes, %s comes back at its address", u.id, next.id)
	next.proxy.ln.Close()
	next.proxy = u.proxy
	u.proxy.setTarget(next.addr)
	u.proxy.setRepeats(true)
	next.register(s.kv, "ready")
	for i := range s.upstreams {
		if s.upstreams[i] == u {
			s.upstreams[i] = next
		}
	}
	time.AfterFunc(time.Second, func() { s.kv.Delete("servers/" + u.id) })
}
