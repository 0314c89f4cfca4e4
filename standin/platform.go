package standin

import (
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/platform"
)

// PlatformFaults are the faults that a Platform shows, as JSON over HTTP.
type PlatformFaults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// SlowMillis delays every answer.
	SlowMillis int `json:"slow_ms"`
	// LoseAnswers drops the answers of the next writes after they took
	// effect.
	LoseAnswers int `json:"lose_answers"`
	// ListLagMillis is the age of the list's answers.
	ListLagMillis int `json:"list_lag_ms"`
}

// Platform serves a Store and a list over HTTP. FaultsPath and SetListPath
// take a POST that switches faults or replaces the list.
type Platform struct {
	store  *Store
	mu     sync.Mutex
	faults PlatformFaults
	lists  []datedList
	calls  int64
	now    func() time.Time
}

type datedList struct {
	at        time.Time
	instances []platform.Instance
}

// Control paths of a Platform.
const (
	FaultsPath  = "/standin/faults"
	SetListPath = "/standin/list"
	CallsPath   = "/standin/calls"
)

// NewPlatform returns a Platform whose list holds instances.
func NewPlatform(instances []platform.Instance) *Platform {
	p := &Platform{store: NewStore(time.Now), now: time.Now}
	p.SetList(instances)
	return p
}

// SetFaults switches faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// SetList replaces the list; readers see it once the list's lag has passed.
func (p *Platform) SetList(instances []platform.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, datedList{at: p.now(), instances: instances})
}

// list returns the newest list older than the lag, else the oldest.
func (p *Platform) list() []platform.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.now().Add(-time.Duration(p.faults.ListLagMillis) * time.Millisecond)
	best := p.lists[0]
	for _, l := range p.lists {
		if l.at.Before(limit) {
			best = l
		}
	}
	return best.instances
}

// Handle serves the platform's HTTP interface.
func (p *Platform) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case FaultsPath:
		var f PlatformFaults
		if decode(ctx, &f) {
			p.SetFaults(f)
		}
		return
	case SetListPath:
		var l platform.InstanceList
		if decode(ctx, &l) {
			p.SetList(l.Instances)
		}
		return
	case CallsPath:
		p.mu.Lock()
		defer p.mu.Unlock()
		reply(ctx, fasthttp.StatusOK, CallCount{Calls: p.calls})
		return
	}
	p.serve(ctx, path)
}

// CallCount is the body of CallsPath's answer.
type CallCount struct {
	Calls int64 `json:"calls"`
}

func (p *Platform) serve(ctx *fasthttp.RequestCtx, path string) {
	p.mu.Lock()
	f := p.faults
	p.calls++
	write := path == platform.PutPath || path == platform.DeletePath
	lose := write && f.LoseAnswers > 0 && !f.Down
	if lose {
		p.faults.LoseAnswers--
	}
	p.mu.Unlock()
	if f.Down {
		reply(ctx, fasthttp.StatusServiceUnavailable, platform.Answer{Error: "down"})
		return
	}
	time.Sleep(time.Duration(f.SlowMillis) * time.Millisecond)
	if path == platform.ListPath {
		reply(ctx, fasthttp.StatusOK, platform.InstanceList{Instances: p.list()})
		return
	}
	var req platform.Request
	if !decode(ctx, &req) {
		return
	}
	a, err := p.apply(path, req)
	if lose {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(closeConn)
		return
	}
	if err != nil {
		a.Error = err.Error()
	}
	reply(ctx, statusOf(err), a)
}

func (p *Platform) apply(path string, r platform.Request) (a platform.Answer, err error) {
	var v platform.Value
	switch path {
	case platform.GetPath:
		v, err = p.store.Get(r.Key)
	case platform.PutPath:
		v.Revision, err = p.store.Put(r.Key, r.Data, r.Expect, r.Lease)
	case platform.DeletePath:
		err = p.store.Delete(r.Key, r.Expect)
	case platform.KeysPath:
		a.Keys = p.store.Keys(r.Key)
		return a, nil
	case platform.GrantPath:
		v.Lease = p.store.Grant(time.Duration(r.TTL) * time.Millisecond)
	case platform.KeepAlivePath:
		err = p.store.KeepAlive(r.Lease)
	case platform.WatchPath:
		v, err = p.watch(r)
	default:
		err = errors.New("unknown path")
	}
	a.Data, a.Revision, a.Lease = v.Data, v.Revision, v.Lease
	return a, err
}

func (p *Platform) watch(r platform.Request) (platform.Value, error) {
	done := make(chan struct{})
	t := time.AfterFunc(time.Duration(r.Wait)*time.Millisecond, func() { close(done) })
	defer t.Stop()
	v, ok := p.store.Watch(r.Key, r.After, done)
	if !ok {
		return v, &platform.Error{Kind: platform.NotFound, Op: "watch", Key: r.Key}
	}
	return v, nil
}

func statusOf(err error) int {
	switch {
	case err == nil:
		return fasthttp.StatusOK
	case platform.IsKind(err, platform.NotFound):
		return fasthttp.StatusNotFound
	case platform.IsKind(err, platform.Conflict):
		return fasthttp.StatusConflict
	}
	return fasthttp.StatusBadRequest
}

func decode(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		reply(ctx, fasthttp.StatusBadRequest, platform.Answer{Error: err.Error()})
		return false
	}
	return true
}

func reply(ctx *fasthttp.RequestCtx, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}
