package standin

import (
	"context"
	"errors"
	"net"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/catkinrouter/catkinrouter/settings"
)

// Control paths of upstreams. UpstreamFaultsPath, followed by an upstream's ID,
// takes a POST of UpstreamFaults; CountsPath returns the counts of all upstreams.
const (
	UpstreamFaultsPath = "/standin/upstream/"
	CountsPath         = "/standin/counts"
)

// Site is a platform and upstreams that run in one process.
type Site struct {
	platform  *Platform
	upstreams map[string]*Upstream
	servers   []*fasthttp.Server
	listeners []net.Listener
}

// NewSite returns a Site with all listeners of s open. If one fails, it closes the
// others.
func NewSite(s *Settings) (*Site, error) {
	site := &Site{platform: NewPlatform(s.Instances), upstreams: map[string]*Upstream{}}
	if err := site.listen("platform_address", s.PlatformAddress, site.platform.Handle); err != nil {
		return nil, err
	}
	if err := site.listen("control_address", s.ControlAddress, site.control); err != nil {
		return nil, err
	}
	for _, svc := range s.Services {
		for i := range svc.Count {
			u := NewUpstream(svc.options(i))
			site.upstreams[svc.id(i)] = u
			if err := site.listen("services", svc.address(i), u.Handle); err != nil {
				return nil, err
			}
		}
	}
	return site, nil
}

func (s *Site) listen(key, addr string, h fasthttp.RequestHandler) error {
	ln, err := settings.Listen(key, addr)
	if err != nil {
		s.close()
		return err
	}
	s.listeners = append(s.listeners, ln)
	s.servers = append(s.servers, &fasthttp.Server{Handler: h, NoDefaultDate: true, NoDefaultServerHeader: true, CloseOnShutdown: true})
	return nil
}

func (s *Site) close() {
	for _, ln := range s.listeners {
		ln.Close()
	}
}

// Run serves until ctx is done.
func (s *Site) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for i, srv := range s.servers {
		g.Go(func() error { return srv.Serve(s.listeners[i]) })
	}
	g.Go(func() error {
		<-ctx.Done()
		s.close()
		return nil
	})
	err := g.Wait()
	if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
		return nil
	}
	return err
}

// control serves the control paths of upstreams.
func (s *Site) control(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == CountsPath {
		var out []UpstreamCounts
		for _, u := range s.upstreams {
			out = append(out, u.Counts())
		}
		slices.SortFunc(out, func(a, b UpstreamCounts) int { return strings.Compare(a.ID, b.ID) })
		replyJSON(ctx, fasthttp.StatusOK, out)
		return
	}
	id, ok := strings.CutPrefix(path, UpstreamFaultsPath)
	u := s.upstreams[id]
	if !ok || u == nil {
		replyJSON(ctx, fasthttp.StatusNotFound, errorBody{"unknown path or upstream: use " + CountsPath + " or " + UpstreamFaultsPath + "ID"})
		return
	}
	var f UpstreamFaults
	if decodeJSON(ctx, &f) {
		u.SetFaults(f)
	}
}
