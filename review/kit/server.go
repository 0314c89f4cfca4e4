package kit

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/catkinrouter/catkinrouter/platform"
)

// Run is one request that a server ran.
type Run struct {
	ID, Method, Target, Server, Service string
	Body                                string // SHA-256
	Length                              int
	At                                  time.Time
}

// Entry is a server's entry in the store.
type Entry struct {
	ID       string
	Service  string
	Address  string
	Slots    int
	State    string
	Sequence int
	Born     int64
}

// Server is a stand-in server of a service.
type Server struct {
	Entry
	site *Site
	// Work is how long a request takes.
	Work time.Duration
	// Intercept, if set, may answer a request in another way and then returns true.
	Intercept func(w http.ResponseWriter, r *http.Request, body []byte) bool

	mu      sync.Mutex
	srv     *http.Server
	running int
	runs    []Run
	closed  bool
}

// heartbeat is the interval of a server's entries.
const heartbeat = 1500 * time.Millisecond

// NewServer returns a server that listens but has not registered.
func (s *Site) NewServer(id, service string, slots int, work time.Duration) (*Server, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	v := &Server{
		Entry: Entry{ID: id, Service: service, Address: ln.Addr().String(), Slots: slots, State: "ready", Born: time.Now().UnixMilli()},
		site:  s, Work: work,
	}
	v.srv = &http.Server{Handler: http.HandlerFunc(v.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = v.srv.Serve(ln) }()
	s.servers = append(s.servers, v)
	return v, nil
}

// Register writes the server's entry now and at each heartbeat.
func (v *Server) Register() {
	v.write()
	go func() {
		for {
			time.Sleep(heartbeat)
			v.mu.Lock()
			closed := v.closed
			v.mu.Unlock()
			if closed {
				return
			}
			v.write()
		}
	}()
}

func (v *Server) write() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.Sequence++
	v.site.PutEntry(v.Entry)
}

// PutEntry writes a server's entry to the store.
func (s *Site) PutEntry(e Entry) {
	var text bytes.Buffer
	if serverTemplate.Execute(&text, e) == nil {
		s.KV.Put(platform.Keys().UpstreamPrefix+e.ID, text.Bytes())
	}
}

// RemoveEntry removes a server's entry from the store.
func (s *Site) RemoveEntry(id string) {
	s.Log("the store removes the entry of %s", id)
	s.KV.Delete(platform.Keys().UpstreamPrefix + id)
}

// Close ends the server without a word.
func (v *Server) Close() {
	v.mu.Lock()
	v.closed = true
	v.mu.Unlock()
	v.srv.Close()
}

// Runs returns what the server ran.
func (v *Server) Runs() []Run {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]Run(nil), v.runs...)
}

func (v *Server) setLoad(w http.ResponseWriter) {
	v.mu.Lock()
	n := v.running
	v.mu.Unlock()
	w.Header().Set(platform.Protocol().Load, fmt.Sprintf("%d,%d,%d,100", min(n, v.Slots), max(0, n-v.Slots), v.Slots))
}

func (v *Server) serve(w http.ResponseWriter, r *http.Request) {
	p := platform.Protocol()
	id := r.Header.Get(p.RequestID)
	if id == "" && r.URL.Path == HealthPath {
		v.setLoad(w)
		w.Header().Set(p.UpstreamID, v.ID)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if id != "" {
		w.Header().Set(p.RequestID, id)
	}
	if want := r.Header.Get(p.ExpectUpstream); want != "" && want != v.ID {
		w.Header().Set(p.UpstreamID, v.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set(p.NotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if v.Intercept != nil && v.Intercept(w, r, body) {
		return
	}
	v.Begin(r, body)
	time.Sleep(v.Work)
	v.End()
	v.Answer(w, id)
}

// Begin records that a request runs.
func (v *Server) Begin(r *http.Request, body []byte) {
	run := Run{
		ID: r.Header.Get(platform.Protocol().RequestID), Method: r.Method, Target: r.RequestURI, Server: v.ID, Service: v.Service,
		Body: fmt.Sprintf("%x", sha256.Sum256(body)), Length: len(body), At: time.Now(),
	}
	v.mu.Lock()
	v.running++
	v.runs = append(v.runs, run)
	v.mu.Unlock()
	v.site.Log("%s of %s runs %s: %s %s, body of %d bytes", v.ID, v.Service, run.ID, run.Method, run.Target, run.Length)
}

// End records that a request has ended.
func (v *Server) End() {
	v.mu.Lock()
	v.running--
	v.mu.Unlock()
}

// Answer writes the server's answer to a request.
func (v *Server) Answer(w http.ResponseWriter, id string) {
	v.setLoad(w)
	text := Answer(v.ID, id)
	w.Header().Set(platform.Protocol().Signature, fmt.Sprintf("%s.%x", v.ID, sha256.Sum256([]byte(text)))[:24])
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

// Answer returns the body of a server's answer to a request.
func Answer(server, id string) string { return fmt.Sprintf("answer of %s to %s\n", server, id) }

// HealthPath is the health path of all services.
const HealthPath = "/health"

// Servers returns the servers of a service.
func (s *Site) Servers(service string) (out []*Server) {
	for _, v := range s.servers {
		if v.Service == service {
			out = append(out, v)
		}
	}
	return out
}
