package standin

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/store"
)

// Platform serves a KV and the list of instances over HTTP. A POST to FaultsPath
// replaces the faults, one to SetListPath the list.
type Platform struct {
	kv     *KV
	mu     sync.Mutex
	faults PlatformFaults
	lists  []listVersion
	calls  CallCount
	now    func() time.Time
}

type listVersion struct {
	at        time.Time
	instances []store.Instance
}

// Control paths of a Platform.
const (
	FaultsPath  = "/standin/faults"
	SetListPath = "/standin/list"
	CallsPath   = "/standin/calls"
)

// maxLists limits the past lists that are kept to serve a lagging list.
const maxLists = 1024

// NewPlatform returns a Platform with an empty store and a list of instances.
func NewPlatform(instances []store.Instance) *Platform {
	p := &Platform{kv: NewKV(), now: time.Now}
	p.SetList(instances)
	return p
}

// SetFaults replaces the faults. If the platform goes down, the connections of
// waiting watches are closed.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.Down && !p.faults.Down {
		p.kv.SetFaults(KVFaults{}) // ends waiting watches
	}
	p.faults = f
}

// SetList replaces the list. Reads return it once PlatformFaults.ListLagMillis
// has passed.
func (p *Platform) SetList(instances []store.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, listVersion{at: p.now(), instances: instances})
	p.lists = p.lists[max(0, len(p.lists)-maxLists):]
}

// list returns the newest list that is older than the lag, or else the oldest
// list.
func (p *Platform) list() []store.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	cutoff := p.now().Add(-millis(p.faults.ListLagMillis))
	best := p.lists[0]
	for _, l := range p.lists {
		if l.at.Before(cutoff) {
			best = l
		}
	}
	return best.instances
}

// Handle serves the platform's HTTP interface and its control paths.
func (p *Platform) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case FaultsPath:
		var f PlatformFaults
		if decodeJSON(ctx, &f) {
			p.SetFaults(f)
		}
		return
	case SetListPath:
		var l store.InstanceList
		if decodeJSON(ctx, &l) {
			p.SetList(l.Instances)
		}
		return
	case CallsPath:
		p.mu.Lock()
		defer p.mu.Unlock()
		replyJSON(ctx, fasthttp.StatusOK, p.calls)
		return
	}
	p.serve(ctx, path)
}

// CallCount is the body of the response at CallsPath.
type CallCount struct {
	// Calls counts all calls; a watch counts once.
	Calls int64 `json:"calls"`
	// Writes counts calls that change the store, without lease renewals. List
	// counts reads of the list.
	Writes int64 `json:"writes"`
	List   int64 `json:"list"`
}

func (p *Platform) serve(ctx *fasthttp.RequestCtx, path string) {
	f := p.consumeFaults(string(ctx.Method()), path)
	if path != store.ListPath {
		p.kv.serve(ctx, f.kvFaults())
		return
	}
	time.Sleep(millis(f.SlowMillis))
	if f.Down || f.ListDown {
		replyError(ctx, fasthttp.StatusServiceUnavailable, "down")
		return
	}
	replyJSON(ctx, fasthttp.StatusOK, store.InstanceList{Instances: p.list()})
}

// consumeFaults counts a call and returns the faults that apply to it. A write
// uses up one of the counted faults (LoseRequests, DelayedWrites, LoseResponses,
// in this order), unless the platform is down. Reads and lease renewals are not
// affected by these.
func (p *Platform) consumeFaults(method, path string) PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Calls++
	f := p.faults
	if path == store.ListPath {
		p.calls.List++
	}
	if method == fasthttp.MethodGet || strings.HasPrefix(path, kvLeaseKeepPath) {
		f.LoseResponses, f.LoseRequests, f.DelayedWrites = 0, 0, 0
		return f
	}
	p.calls.Writes++
	if f.Down {
		return f
	}
	switch {
	case f.LoseRequests > 0:
		p.faults.LoseRequests--
	case f.DelayedWrites > 0:
		p.faults.DelayedWrites--
	case f.LoseResponses > 0:
		p.faults.LoseResponses--
	}
	return f
}

// closeWithoutResponse closes the connection of a call without a response.
func closeWithoutResponse(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(closeConn)
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// decodeJSON decodes the body of a request into v. On an error it writes a response
// with status 400 and returns false.
func decodeJSON(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		replyError(ctx, fasthttp.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// errorBody is the body of an error response.
type errorBody struct {
	Error string `json:"error"`
}

// replyError writes an error response.
func replyError(ctx *fasthttp.RequestCtx, status int, message string) {
	replyJSON(ctx, status, errorBody{message})
}

// replyJSON writes v as the JSON body of a response.
func replyJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}
