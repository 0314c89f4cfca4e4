package standin

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/store"
)

// Platform serves a Store and a list over HTTP. FaultsPath and SetListPath
// take a POST that switches faults or replaces the list.
type Platform struct {
	store  *Store
	mu     sync.Mutex
	faults PlatformFaults
	cut    chan struct{} // closed when the store goes down
	lists  []datedList
	calls  CallCount
	now    func() time.Time
}

type datedList struct {
	at        time.Time
	instances []store.Instance
}

// Control paths of a Platform.
const (
	FaultsPath  = "/standin/faults"
	SetListPath = "/standin/list"
	CallsPath   = "/standin/calls"
)

// maxLists bounds the lists kept for the list's lag.
const maxLists = 1024

// NewPlatform returns a Platform whose list holds instances.
func NewPlatform(instances []store.Instance) *Platform {
	p := &Platform{store: NewStore(time.Now), now: time.Now, cut: make(chan struct{})}
	p.SetList(instances)
	return p
}

// SetFaults switches faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.Down && !p.faults.Down {
		close(p.cut)
		p.cut = make(chan struct{})
	}
	p.faults = f
}

// SetList replaces the list; readers see it once the list's lag has passed.
func (p *Platform) SetList(instances []store.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, datedList{at: p.now(), instances: instances})
	p.lists = p.lists[max(0, len(p.lists)-maxLists):]
}

// list returns the newest list older than the lag, else the oldest.
func (p *Platform) list() []store.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.now().Add(-millis(p.faults.ListLagMillis))
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
		var l store.InstanceList
		if decode(ctx, &l) {
			p.SetList(l.Instances)
		}
		return
	case CallsPath:
		p.mu.Lock()
		defer p.mu.Unlock()
		reply(ctx, fasthttp.StatusOK, p.calls)
		return
	}
	p.serve(ctx, path)
}

// CallCount is the body of CallsPath's answer.
type CallCount struct {
	// Calls counts every call, a watch as one.
	Calls int64 `json:"calls"`
	// Writes and List count those that change the store or read the list.
	Writes int64 `json:"writes"`
	List   int64 `json:"list"`
}

func (p *Platform) serve(ctx *fasthttp.RequestCtx, path string) {
	f, cut := p.take(path)
	time.Sleep(millis(f.SlowMillis))
	switch {
	case f.Down, f.ListDown && path == store.ListPath:
		refuse(ctx, fasthttp.StatusServiceUnavailable, "down")
		return
	case path == store.ListPath:
		reply(ctx, fasthttp.StatusOK, store.InstanceList{Instances: p.list()})
		return
	case f.LoseCalls > 0:
		hangUp(ctx)
		return
	}
	var req store.Request
	if !decode(ctx, &req) {
		return
	}
	if f.LateWrites > 0 {
		time.AfterFunc(millis(f.LateMillis), func() { p.apply(path, req, cut) })
		hangUp(ctx)
		return
	}
	a, err := p.apply(path, req, cut)
	switch {
	case f.LoseAnswers > 0:
		hangUp(ctx)
	case store.IsKind(err, store.Unchanged):
		ctx.SetStatusCode(fasthttp.StatusNotModified)
	case err != nil:
		refuse(ctx, statusOf(err), err.Error())
	default:
		reply(ctx, fasthttp.StatusOK, a)
	}
}

// take counts a call and returns the faults that it meets; its counted ones
// are used up.
func (p *Platform) take(path string) (PlatformFaults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Calls++
	f := p.faults
	if path == store.ListPath {
		p.calls.List++
	}
	if !writes(path) {
		f.LoseAnswers, f.LoseCalls, f.LateWrites = 0, 0, 0
		return f, p.cut
	}
	p.calls.Writes++
	if f.Down {
		return f, p.cut
	}
	switch {
	case f.LoseCalls > 0:
		p.faults.LoseCalls--
	case f.LateWrites > 0:
		p.faults.LateWrites--
	case f.LoseAnswers > 0:
		p.faults.LoseAnswers--
	}
	return f, p.cut
}

func writes(path string) bool {
	switch path {
	case store.PutPath, store.DeletePath, store.GrantPath:
		return true
	}
	return false
}

func hangUp(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(closeConn)
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func (p *Platform) apply(path string, r store.Request, cut <-chan struct{}) (a store.Answer, err error) {
	var v store.Value
	switch path {
	case store.GetPath:
		v, err = p.store.Get(r.Key)
	case store.PutPath:
		v.Revision, err = p.store.Put(r.Key, r.Data, r.Expect, r.Lease)
	case store.DeletePath:
		err = p.store.Delete(r.Key, r.Expect)
	case store.KeysPath:
		a.Keys = p.store.Keys(r.Key)
		return a, nil
	case store.GrantPath:
		v.Lease = p.store.Grant(millis(int(r.TTL)))
	case store.KeepAlivePath:
		err = p.store.KeepAlive(r.Lease)
	case store.WatchPath:
		v, err = p.watch(r, cut)
	default:
		err = errors.New("unknown path")
	}
	a.Data, a.Revision, a.Lease = v.Data, v.Revision, v.Lease
	return a, err
}

// watch ends after the time that the request names, or when the store goes
// down.
func (p *Platform) watch(r store.Request, cut <-chan struct{}) (store.Value, error) {
	ctx, cancel := context.WithTimeout(context.Background(), millis(int(r.Wait)))
	defer cancel()
	go func() {
		select {
		case <-cut:
			cancel()
		case <-ctx.Done():
		}
	}()
	if v, ok := p.store.Watch(r.Key, r.After, ctx.Done()); ok {
		return v, nil
	}
	if ctx.Err() == context.Canceled {
		return store.Value{}, &store.Error{Kind: store.Unavailable, Op: "watch", Key: r.Key}
	}
	return store.Value{}, &store.Error{Kind: store.Unchanged, Op: "watch", Key: r.Key}
}

func statusOf(err error) int {
	switch {
	case err == nil:
		return fasthttp.StatusOK
	case store.IsKind(err, store.NotFound):
		return fasthttp.StatusNotFound
	case store.IsKind(err, store.Conflict):
		return fasthttp.StatusConflict
	case store.IsKind(err, store.Unavailable):
		return fasthttp.StatusServiceUnavailable
	}
	return fasthttp.StatusBadRequest
}

func decode(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// refuse answers that the call changed nothing.
func refuse(ctx *fasthttp.RequestCtx, status int, why string) {
	reply(ctx, status, store.Answer{Error: why, Refused: true})
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
