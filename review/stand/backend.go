package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that reached a backend.
type arrival struct {
	id, backend, service string
	at                   time.Time
	ran                  bool
}

func (a arrival) String() string {
	if a.ran {
		return fmt.Sprintf("%s of %s, which ran it", a.backend, a.service)
	}
	return fmt.Sprintf("%s of %s, which did not run it", a.backend, a.service)
}

// ledger holds what reached the backends of a site.
type ledger struct {
	mu       sync.Mutex
	arrivals []arrival
}

func (l *ledger) add(a arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, a)
}

// of returns the arrivals of a request.
func (l *ledger) of(id string) (out []arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.arrivals {
		if a.id == id {
			out = append(out, a)
		}
	}
	return out
}

// backend is a sound backend: it runs slots requests at once, queues as many more, and
// drops a request when its connection closes.
type backend struct {
	site     *site
	ledger   *ledger
	service  string
	id, zone string
	addr     string
	slots    int
	work     time.Duration
	// limit is what the backend names as the requests a second that it takes from all
	// machines together, empty for none.
	limit string
	// shed is the share of requests that it rejects although it has room.
	shed atomic.Uint64 // in thousandths

	mu               sync.Mutex
	running, waiting int
	free             chan struct{}
	sequence         int
	born             int64
	server           *http.Server
}

// newBackend starts a backend of a service on an address of its own and registers it.
func (s *site) newBackend(l *ledger, service string, number, slots int, work time.Duration, limit string) (*backend, error) {
	zones := []string{"bole", "kirkos", "yeka"}
	b := &backend{site: s, ledger: l, service: service, id: fmt.Sprintf("i-%08x", 0x51f30000+number), zone: zones[number%len(zones)], slots: slots, work: work, limit: limit, free: make(chan struct{}, slots), born: time.Now().UnixMilli()}
	ln, err := net.Listen("tcp4", fmt.Sprintf("%s%d:8384", s.prefix, 100+number))
	if err != nil {
		return nil, err
	}
	b.addr = ln.Addr().String()
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve)}
	go func() { _ = b.server.Serve(ln) }()
	b.register("ready")
	return b, nil
}

// register writes the backend's entry.
func (b *backend) register(state string) {
	b.mu.Lock()
	b.sequence++
	text := strings.NewReplacer("SERVICE", b.service, "ADDRESS", b.addr, "ZONE", b.zone, "SLOTS", fmt.Sprint(b.slots), "STATE", state, "SEQUENCE", fmt.Sprint(b.sequence), "BORN", fmt.Sprint(b.born)).Replace(entryText)
	b.mu.Unlock()
	b.site.kv.Put(entryPrefix+b.id, []byte(strings.TrimSpace(text)))
}

// count changes the numbers of running and waiting requests.
func (b *backend) count(running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running += running
	b.waiting += waiting
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	b.mu.Lock()
	h.Set(proto.Load, fmt.Sprintf("%d,%d,%d,100", b.running, b.waiting, b.slots))
	if b.limit != "" {
		h.Set(proto.RateLimit, b.limit)
	}
	full := b.waiting >= 4*b.slots
	b.mu.Unlock()
	if r.URL.Path == "/health" {
		h.Set(proto.UpstreamID, b.id)
		return
	}
	id := r.Header.Get(proto.RequestID)
	h.Set(proto.RequestID, id)
	a := arrival{id: id, backend: b.id, service: b.service, at: time.Now()}
	if want := r.Header.Get(proto.ExpectUpstream); want != "" && want != b.id {
		h.Set(proto.UpstreamID, b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if full || uint64(rand.IntN(1000)) < b.shed.Load() {
		b.ledger.add(a)
		h.Set(proto.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	b.count(0, 1)
	b.free <- struct{}{}
	b.count(1, -1)
	a.ran = true
	b.ledger.add(a)
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		b.site.add("%s: the connection of request %s closed while it ran", b.id, id)
	}
	<-b.free
	b.count(-1, 0)
	h.Set(proto.Signature, "stamp-"+b.id)
	fmt.Fprintf(w, "answer to %s\n", id)
}
