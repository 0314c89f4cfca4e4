package standin

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/store"
)

// Paths of the platform's key-value protocol, as the platform documents it.
const (
	kvKeyPath       = "/v1/kv-key"
	kvRangePath     = "/v1/kv-range"
	kvWatchPath     = "/v1/kv-watch"
	kvTxnPath       = "/v1/kv-txn"
	kvLeasePath     = "/v1/kv-lease"
	kvLeaseKeepPath = "/v1/kv-keep/"
	kvLeaseEndPath  = "/v1/kv-lease-end/"
)

// kvEpochHeader holds the store's epoch in each response.
const kvEpochHeader = "Store-Era"

// KVFaults are the faults to inject into a KV; the zero value injects none.
type KVFaults struct {
	// Status, if not 0, is the status of every response, such as 503 or 429.
	Status int
	// Silent closes the connection of each call after 1 s without a response;
	// Reset closes it at once.
	Silent, Reset bool
	// Slow delays each call.
	Slow time.Duration
	// DropWriteResponses executes writes and closes the connection without a
	// response.
	DropWriteResponses bool
	// WriteDelay, if above 0, delays transactions by this time and closes the
	// connection of each write without a response.
	WriteDelay time.Duration
	// OnlyFromIPs limits the faults to calls from these IP addresses. If it is
	// empty, the faults apply to all calls.
	OnlyFromIPs []string
	// WithholdEvents withholds events from watches, which return none when their
	// wait time ends.
	WithholdEvents bool
}

// KV serves a Store over HTTP by the key-value protocol of the platform.
type KV struct {
	store  *Store
	mu     sync.Mutex
	faults KVFaults
	// faultsChanged closes when the faults change, which ends waiting watches.
	faultsChanged chan struct{}
	calls         int
	pageSize      int
}

type kvItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (i kvItem) storeValue() store.Value {
	return store.Value{Data: i.Value, Revision: i.Revision, Lease: i.Lease}
}

// kvPageSize is the default maximum number of items in a page of a range.
const kvPageSize = 500

// NewKV returns an empty store.
func NewKV() *KV {
	return &KV{store: NewStore(time.Now), faultsChanged: make(chan struct{}), pageSize: kvPageSize}
}

// SetFaults replaces the faults. It closes the connections of waiting watches.
func (k *KV) SetFaults(f KVFaults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
	close(k.faultsChanged)
	k.faultsChanged = make(chan struct{})
}

// SetPageSize sets the maximum number of items in a page of a range.
func (k *KV) SetPageSize(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pageSize = n
}

// Calls returns the number of calls so far.
func (k *KV) Calls() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.calls
}

// CompactHistory removes all changes so far from the history, so that a watch
// from an earlier revision gets status 410.
func (k *KV) CompactHistory() { k.store.compact() }

// Backup returns a copy of the store's state.
func (k *KV) Backup() Backup { return k.store.backup() }

// Restore returns the store to the state of b, as if it came back from that copy
// after an outage.
func (k *KV) Restore(b Backup) { k.store.restore(b) }

// Put writes a key without a condition, as operators and upstreams do.
func (k *KV) Put(key string, value []byte) { k.store.set(key, value) }

// Get returns a key's value.
func (k *KV) Get(key string) ([]byte, bool) {
	it, ok, _ := k.store.item(key)
	return it.Value, ok
}

// Delete removes a key without a condition.
func (k *KV) Delete(key string) { k.store.unset(key) }

// Handle serves one HTTP request.
func (k *KV) Handle(ctx *fasthttp.RequestCtx) {
	k.mu.Lock()
	f := k.faults
	k.mu.Unlock()
	if len(f.OnlyFromIPs) > 0 && !slices.Contains(f.OnlyFromIPs, ctx.RemoteIP().String()) {
		f = KVFaults{}
	}
	k.serve(ctx, f)
}

// serve counts and serves one call, with the faults f.
func (k *KV) serve(ctx *fasthttp.RequestCtx, f KVFaults) {
	k.mu.Lock()
	k.calls++
	k.mu.Unlock()
	time.Sleep(f.Slow)
	switch {
	case f.Silent:
		time.Sleep(time.Second)
		closeWithoutResponse(ctx)
	case f.Reset:
		closeWithoutResponse(ctx)
	case f.Status != 0:
		ctx.SetStatusCode(f.Status)
	default:
		k.route(ctx, f)
	}
}

func (k *KV) route(ctx *fasthttp.RequestCtx, f KVFaults) {
	defer func() { ctx.Response.Header.Set(kvEpochHeader, strconv.FormatInt(k.store.currentEpoch(), 10)) }()
	path := string(ctx.Path())
	switch {
	case path == kvKeyPath:
		k.serveKey(ctx)
	case path == kvRangePath:
		k.serveRange(ctx)
	case path == kvWatchPath:
		k.serveWatch(ctx, f)
	case path == kvTxnPath:
		k.serveTxn(ctx, f)
	case path == kvLeasePath:
		k.serveGrant(ctx, f)
	case strings.HasPrefix(path, kvLeaseKeepPath), strings.HasPrefix(path, kvLeaseEndPath):
		k.serveLease(ctx, path)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (k *KV) serveKey(ctx *fasthttp.RequestCtx) {
	it, ok, revision := k.store.item(string(ctx.QueryArgs().Peek("key")))
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	replyJSON(ctx, fasthttp.StatusOK, struct {
		kvItem
		AtRev int64 `json:"atRev"`
	}{it, revision})
}

type kvList struct {
	Items   []kvItem `json:"items"`
	HasMore bool     `json:"hasMore"`
	AtRev   int64    `json:"atRev"`
}

func (k *KV) serveRange(ctx *fasthttp.RequestCtx) {
	items, revision := k.store.list(string(ctx.QueryArgs().Peek("prefix")), string(ctx.QueryArgs().Peek("after")))
	k.mu.Lock()
	n := min(k.pageSize, len(items))
	k.mu.Unlock()
	out := kvList{Items: []kvItem{}, AtRev: revision, HasMore: n < len(items)}
	out.Items = append(out.Items, items[:n]...)
	replyJSON(ctx, fasthttp.StatusOK, out)
}

type kvEvents struct {
	Events []kvItem `json:"events"`
	AtRev  int64    `json:"atRev"`
}

// serveWatch returns the changes after a revision once there are any, or none
// after the wait time. It returns status 410 if the history no longer holds them.
func (k *KV) serveWatch(ctx *fasthttp.RequestCtx, f KVFaults) {
	q := ctx.QueryArgs()
	prefix := string(q.Peek("prefix"))
	after, err1 := strconv.ParseInt(string(q.Peek("after")), 10, 64)
	wait, err2 := q.GetUint("waitMs")
	if err1 != nil || err2 != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	end := time.After(millis(wait))
	k.mu.Lock()
	faultsChanged := k.faultsChanged
	k.mu.Unlock()
	for {
		h := k.store.changesSince(prefix, after)
		switch {
		case h.compacted:
			ctx.SetStatusCode(fasthttp.StatusGone)
			return
		case len(h.events) > 0 && !f.WithholdEvents:
			replyJSON(ctx, fasthttp.StatusOK, kvEvents{Events: h.events, AtRev: h.revision})
			return
		}
		select {
		case <-h.changed:
		case <-faultsChanged:
			closeWithoutResponse(ctx)
			return
		case <-end:
			replyJSON(ctx, fasthttp.StatusOK, kvEvents{Events: []kvItem{}, AtRev: max(after, 0)})
			return
		}
	}
}

type kvTxn struct {
	Expect []kvExpect `json:"expectedRev"`
	Puts   []kvPut    `json:"putItems"`
	Delete []string   `json:"deleteKeys"`
}

type kvExpect struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
}

type kvPut struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease"`
}

// serveTxn executes a transaction. Callers may not write the keys of operators
// ("op/") and upstreams ("servers/"): status 403.
func (k *KV) serveTxn(ctx *fasthttp.RequestCtx, f KVFaults) {
	var t kvTxn
	if !decodeJSON(ctx, &t) {
		return
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			ctx.SetStatusCode(fasthttp.StatusForbidden)
			return
		}
	}
	if f.WriteDelay > 0 {
		time.AfterFunc(f.WriteDelay, func() { k.store.commit(t) })
		closeWithoutResponse(ctx)
		return
	}
	revision, current, err := k.store.commit(t)
	switch {
	case f.DropWriteResponses:
		closeWithoutResponse(ctx)
	case store.IsKind(err, store.Conflict):
		replyJSON(ctx, fasthttp.StatusPreconditionFailed, kvList{Items: current, AtRev: revision})
	case err != nil:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	default:
		replyJSON(ctx, fasthttp.StatusOK, struct {
			Revision int64 `json:"revision"`
		}{revision})
	}
}

type kvGrant struct {
	Lease int64 `json:"lease,omitempty"`
	TTL   int64 `json:"ttlMs"`
}

func (k *KV) serveGrant(ctx *fasthttp.RequestCtx, f KVFaults) {
	var in kvGrant
	if !decodeJSON(ctx, &in) {
		return
	}
	if in.TTL <= 0 {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	out := kvGrant{Lease: k.store.Grant(millis(int(in.TTL))), TTL: in.TTL}
	if f.DropWriteResponses || f.WriteDelay > 0 {
		closeWithoutResponse(ctx)
		return
	}
	replyJSON(ctx, fasthttp.StatusOK, out)
}

// serveLease renews or ends the lease whose ID is the last part of path.
func (k *KV) serveLease(ctx *fasthttp.RequestCtx, path string) {
	id, err := strconv.ParseInt(path[strings.LastIndexByte(path, '/')+1:], 10, 64)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	ttl, err := k.store.renew(id, strings.HasPrefix(path, kvLeaseEndPath))
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	replyJSON(ctx, fasthttp.StatusOK, kvGrant{TTL: ttl.Milliseconds()})
}
