package standin

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Paths of the key-value protocol, as the users' platform publishes it.
const (
	kvKeyPath   = "/v1/kv-key"
	kvRangePath = "/v1/kv-range"
	kvWatchPath = "/v1/kv-watch"
	kvTxnPath   = "/v1/kv-txn"
	kvLeasePath = "/v1/kv-lease"
	kvKeepPath  = "/v1/kv-keep/"
	kvEndPath   = "/v1/kv-lease-end/"
)

// KVFaults are the troubles of a KV; the zero value is none.
type KVFaults struct {
	// Status answers every call with a status, such as 503 or 429.
	Status int
	// Silent answers no call; Reset closes their connections.
	Silent, Reset bool
	// Slow delays each answer.
	Slow time.Duration
	// LoseWrites does writes and closes the connection without an answer.
	LoseWrites bool
	// LateWrites does writes after this time, and answers none.
	LateWrites time.Duration
	// Refused applies the faults to these callers' IP addresses alone, where
	// there are any.
	Refused []string
	// DeafWatches lets watches wait without news.
	DeafWatches bool
}

// KV is a key-value store that speaks the published protocol over HTTP.
type KV struct {
	mu     sync.Mutex
	items  map[string]kvItem
	log    []kvItem
	rev    int64
	lost   int64 // history up to this revision is gone
	leases map[int64]kvLease
	faults KVFaults
	// switched counts the changes of faults.
	switched int
	changed  chan struct{}
	calls    int
	page     int
}

type kvItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type kvLease struct {
	ttl time.Duration
	end time.Time
}

// kvPage is the number of items in a page.
const kvPage = 500

// NewKV returns an empty store.
func NewKV() *KV {
	return &KV{items: map[string]kvItem{}, leases: map[int64]kvLease{}, changed: make(chan struct{}), rev: 1, page: kvPage}
}

// SetFaults switches faults; watches that wait are cut.
func (k *KV) SetFaults(f KVFaults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
	k.switched++
	k.wake()
}

// SetPage sets the number of items in a page.
func (k *KV) SetPage(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.page = n
}

// Calls returns the number of calls so far.
func (k *KV) Calls() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.calls
}

// DropHistory forgets all changes so far.
func (k *KV) DropHistory() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lost, k.log = k.rev, nil
	k.wake()
}

// Put writes a key as the operators or an upstream would.
func (k *KV) Put(key string, value []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.put(key, value, 0)
}

// Get returns a key's value.
func (k *KV) Get(key string) ([]byte, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	it, ok := k.items[key]
	return it.Value, ok
}

// Delete removes a key.
func (k *KV) Delete(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.remove(key)
}

func (k *KV) put(key string, value []byte, lease int64) {
	k.rev++
	it := kvItem{Key: key, Value: value, Revision: k.rev, Created: k.rev, Lease: lease}
	if old, ok := k.items[key]; ok {
		it.Created = old.Created
	}
	k.items[key] = it
	k.log = append(k.log, it)
	k.wake()
}

func (k *KV) remove(key string) {
	if _, ok := k.items[key]; !ok {
		return
	}
	k.rev++
	delete(k.items, key)
	k.log = append(k.log, kvItem{Key: key, Revision: k.rev, Tombstone: true})
	k.wake()
}

func (k *KV) wake() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// expire removes the keys of leases that have ended.
func (k *KV) expire() {
	for id, l := range k.leases {
		if time.Now().Before(l.end) {
			continue
		}
		delete(k.leases, id)
		for key, it := range k.items {
			if it.Lease == id {
				k.remove(key)
			}
		}
	}
}

// Handle serves the protocol.
func (k *KV) Handle(ctx *fasthttp.RequestCtx) {
	k.mu.Lock()
	k.calls++
	k.expire()
	f := k.faults
	k.mu.Unlock()
	if len(f.Refused) > 0 && !slices.Contains(f.Refused, ctx.RemoteIP().String()) {
		f = KVFaults{}
	}
	time.Sleep(f.Slow)
	switch {
	case f.Silent:
		ctx.HijackSetNoResponse(true)
		time.Sleep(time.Second)
		fallthrough
	case f.Reset:
		ctx.Conn().Close()
	case f.Status != 0:
		ctx.SetStatusCode(f.Status)
	default:
		k.serve(ctx, f)
	}
}

func (k *KV) serve(ctx *fasthttp.RequestCtx, f KVFaults) {
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
	case path == kvLeasePath, strings.HasPrefix(path, kvKeepPath), strings.HasPrefix(path, kvEndPath):
		k.serveLease(ctx, path)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (k *KV) serveKey(ctx *fasthttp.RequestCtx) {
	k.mu.Lock()
	defer k.mu.Unlock()
	it, ok := k.items[string(ctx.QueryArgs().Peek("key"))]
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	kvReply(ctx, struct {
		kvItem
		AtRev int64 `json:"atRev"`
	}{it, k.rev})
}

type kvList struct {
	Items   []kvItem `json:"items"`
	HasMore bool     `json:"hasMore"`
	AtRev   int64    `json:"atRev"`
}

func (k *KV) serveRange(ctx *fasthttp.RequestCtx) {
	prefix, after := string(ctx.QueryArgs().Peek("prefix")), string(ctx.QueryArgs().Peek("after"))
	k.mu.Lock()
	defer k.mu.Unlock()
	out := kvList{Items: []kvItem{}, AtRev: k.rev}
	var keys []string
	for key := range k.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	if len(keys) > k.page {
		keys, out.HasMore = keys[:k.page], true
	}
	for _, key := range keys {
		out.Items = append(out.Items, k.items[key])
	}
	kvReply(ctx, out)
}

type kvEvents struct {
	Events []kvItem `json:"events"`
	AtRev  int64    `json:"atRev"`
}

func (k *KV) serveWatch(ctx *fasthttp.RequestCtx, f KVFaults) {
	q := ctx.QueryArgs()
	prefix := string(q.Peek("prefix"))
	after, err1 := strconv.ParseInt(string(q.Peek("after")), 10, 64)
	wait, err2 := q.GetUint("waitMs")
	if err1 != nil || err2 != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	k.mu.Lock()
	began := k.switched
	k.mu.Unlock()
	for {
		k.mu.Lock()
		events, gone, changed, cut := k.since(prefix, after), after < k.lost, k.changed, k.switched != began
		out := kvEvents{Events: events, AtRev: k.rev}
		k.mu.Unlock()
		switch {
		case cut:
			ctx.Conn().Close()
			return
		case gone:
			ctx.SetStatusCode(fasthttp.StatusGone)
			return
		case len(events) > 0 && !f.DeafWatches:
			kvReply(ctx, out)
			return
		}
		select {
		case <-changed:
		case <-end:
			kvReply(ctx, kvEvents{Events: []kvItem{}, AtRev: max(after, 0)})
			return
		}
	}
}

func (k *KV) since(prefix string, after int64) []kvItem {
	var out []kvItem
	for _, it := range k.log {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			out = append(out, it)
		}
	}
	return out
}

type kvTxn struct {
	Expect []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expectedRev"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"putItems"`
	Delete []string `json:"deleteKeys"`
}

func (k *KV) serveTxn(ctx *fasthttp.RequestCtx, f KVFaults) {
	var t kvTxn
	if err := json.Unmarshal(ctx.PostBody(), &t); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if f.LateWrites > 0 {
		time.AfterFunc(f.LateWrites, func() { k.commit(t) })
		ctx.Conn().Close()
		return
	}
	status, rev, current := k.commit(t)
	if f.LoseWrites {
		ctx.Conn().Close()
		return
	}
	ctx.SetStatusCode(status)
	switch status {
	case fasthttp.StatusOK:
		kvReply(ctx, struct {
			Revision int64 `json:"revision"`
		}{rev})
	case fasthttp.StatusPreconditionFailed:
		kvReply(ctx, kvList{Items: current, AtRev: rev})
	}
}

// commit does a transaction whole or not at all.
func (k *KV) commit(t kvTxn) (status int, rev int64, current []kvItem) {
	k.mu.Lock()
	defer k.mu.Unlock()
	held := true
	for _, e := range t.Expect {
		it := k.items[e.Key]
		current = append(current, it)
		held = held && it.Revision == e.Revision
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return fasthttp.StatusForbidden, k.rev, nil
		}
		if _, ok := k.leases[p.Lease]; p.Lease != 0 && !ok {
			return fasthttp.StatusNotFound, k.rev, nil
		}
	}
	if !held {
		return fasthttp.StatusPreconditionFailed, k.rev, current
	}
	for _, p := range t.Puts {
		k.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Delete {
		k.remove(key)
	}
	return fasthttp.StatusOK, k.rev, nil
}

func (k *KV) serveLease(ctx *fasthttp.RequestCtx, path string) {
	var in kvGrant
	k.mu.Lock()
	defer k.mu.Unlock()
	if path == kvLeasePath {
		if err := json.Unmarshal(ctx.PostBody(), &in); err != nil || in.TTL <= 0 {
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		ttl := time.Duration(in.TTL) * time.Millisecond
		k.rev++
		k.leases[k.rev] = kvLease{ttl: ttl, end: time.Now().Add(ttl)}
		kvReply(ctx, kvGrant{Lease: k.rev, TTL: in.TTL})
		return
	}
	id, err := strconv.ParseInt(path[strings.LastIndexByte(path, '/')+1:], 10, 64)
	l, ok := k.leases[id]
	if err != nil || !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	l.end = time.Now().Add(l.ttl)
	if strings.HasPrefix(path, kvEndPath) {
		l.end = time.Now()
	}
	k.leases[id] = l
	k.expire()
	kvReply(ctx, kvGrant{TTL: l.ttl.Milliseconds()})
}

type kvGrant struct {
	Lease int64 `json:"lease,omitempty"`
	TTL   int64 `json:"ttlMs"`
}

func kvReply(ctx *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}
