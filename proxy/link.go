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

// state is what requests need of the agent's last State. It is replaced as a
// whole.
type state struct {
	doc     *config.Document
	members []link.Member
	// heard is when the agent sent members.
	heard time.Duration
	// maxBody is the bound of bodies by service, in bytes.
	maxBody map[string]int
}

func newState(doc *config.Document) *state {
	st := &state{doc: doc, maxBody: map[string]int{}}
	if doc == nil {
		return st
	}
	for _, svc := range doc.Services {
		st.maxBody[svc.Name] = svc.Rules.WithDefaults().MaxBody
	}
	return st
}

// linkServer serves net/rpc to the agent.
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

// close ends the listener and every connection.
func (l *linkServer) close() {
	l.ln.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.Close()
	}
}

type linkService struct{ s *Server }

// Sync takes the agent's state and answers the entry's.
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

// sync puts the agent's state in force.
func (s *Server) sync(in *link.State, doc *config.Document) link.Status {
	s.syncMu.Lock()
	defer s.syncMu.Unlock()
	s.inbox.Fill(s.d.now(), in)
	old := s.state.Load()
	fresh := &state{doc: old.doc, maxBody: old.maxBody}
	if doc != nil {
		fresh = newState(doc)
		s.life = max(s.life, doc.Lookup.Lifetime.D())
	}
	fresh.members, fresh.heard = in.Members, s.now()
	s.state.Store(fresh)
	out := s.d.sync(in, doc)
	out.Leaving = s.at() >= leaving
	if !in.Detail {
		out.Trim()
	}
	return out
}
