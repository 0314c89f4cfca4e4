package proxy

import (
	"encoding/json"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/internal/httpserve"
	"github.com/catkinrouter/catkinrouter/link"
)

// agentState is the part of the agent's last State that requests need. It is
// replaced as a whole and never changed in place.
type agentState struct {
	doc     *config.Document
	members []link.Member
	// receivedAt is when members arrived from the agent, as time since the
	// server started.
	receivedAt time.Duration
	// maxBody is the limit of request bodies by service, in bytes.
	maxBody map[string]int
}

func newAgentState(doc *config.Document) *agentState {
	st := &agentState{doc: doc, maxBody: map[string]int{}}
	if doc == nil {
		return st
	}
	for _, svc := range doc.Services {
		st.maxBody[svc.Name] = svc.Rules.WithDefaults().MaxBody
	}
	return st
}

// linkServer serves the agent's net/rpc calls.
type linkServer struct {
	rpc *rpc.Server
	ln  net.Listener

	mu    sync.Mutex // guards conns
	conns map[net.Conn]struct{}
}

func newLinkServer(ln net.Listener, s *Server) (*linkServer, error) {
	l := &linkServer{rpc: rpc.NewServer(), ln: ln, conns: map[net.Conn]struct{}{}}
	return l, l.rpc.RegisterName("Entry", &linkService{s})
}

func (l *linkServer) serve() error {
	for {
		c, err := l.ln.Accept()
		if err != nil {
			return httpserve.IgnoreClosed(err)
		}
		l.add(c)
		go func() {
			l.rpc.ServeConn(c)
			l.remove(c)
		}()
	}
}

func (l *linkServer) add(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
}

func (l *linkServer) remove(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// close closes the listener and every connection.
func (l *linkServer) close() {
	l.ln.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.Close()
	}
}

type linkService struct{ s *Server }

// Sync applies the agent's state and returns the entry's status.
func (l *linkService) Sync(in *link.State, out *link.Status) error {
	var doc *config.Document
	if len(in.Document) > 0 {
		doc = &config.Document{}
		if err := json.Unmarshal(in.Document, doc); err != nil {
			return err
		}
	}
	*out = l.s.sync(in, doc)
	return nil
}

// sync applies the agent's state; doc is nil if the configuration is
// unchanged.
func (s *Server) sync(in *link.State, doc *config.Document) link.Status {
	s.syncMu.Lock()
	defer s.syncMu.Unlock()
	s.memberCache.Resolve(s.d.now(), in)
	old := s.agentState.Load()
	updated := &agentState{doc: old.doc, maxBody: old.maxBody}
	if doc != nil {
		updated = newAgentState(doc)
		s.maxLookupLifetime = max(s.maxLookupLifetime, doc.Lookup.Lifetime.D())
	}
	updated.members, updated.receivedAt = in.Members, s.now()
	s.agentState.Store(updated)
	out := s.d.sync(in, doc)
	out.Leaving = s.currentPhase() >= leaving
	if !in.Detail {
		out.ClearDetails()
	}
	return out
}
