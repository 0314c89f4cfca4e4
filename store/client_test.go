package store_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"github.com/catkinrouter/catkinrouter/standin"
	"github.com/catkinrouter/catkinrouter/store"
)

// serve answers with h on loopback until the test ends.
func serve(t *testing.T, h fasthttp.RequestHandler) *store.Client {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &fasthttp.Server{Handler: h, NoDefaultDate: true, CloseOnShutdown: true}
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(ln) }()
	c := store.NewClient(ln.Addr().String(), ln.Addr().String())
	t.Cleanup(func() {
		c.Close()
		if err := srv.Shutdown(); err != nil {
			t.Error(err)
		}
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return c
}

// A write counts as not made only if the platform itself says so.
func TestKindsOfAnswers(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
		read   store.Kind
		write  store.Kind
	}{
		{"down", 503, `{"error": "down", "refused": true}`, store.Unavailable, store.Unavailable},
		{"too many", 429, `{"error": "slow down", "refused": true}`, store.Unavailable, store.Unavailable},
		{"down, said by something between", 503, `{"error": "down"}`, store.Unavailable, store.Indefinite},
		{"gateway page", 502, `<html>`, store.Unavailable, store.Indefinite},
		{"missing", 404, `{"refused": true}`, store.NotFound, store.NotFound},
		{"missing, said by something between", 404, `no such page`, store.Unavailable, store.Indefinite},
		{"changed", 409, `{"refused": true}`, store.Conflict, store.Conflict},
		{"changed, said by something between", 409, `{}`, store.Unavailable, store.Indefinite},
		{"malformed", 400, `{"refused": true}`, store.Invalid, store.Invalid},
		{"broken", 500, `{"refused": true}`, store.Unavailable, store.Indefinite},
		{"cut short", 200, `{"data": "eA==", "rev`, store.Unavailable, store.Indefinite},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := serve(t, func(ctx *fasthttp.RequestCtx) {
				ctx.SetStatusCode(tt.status)
				ctx.SetBodyString(tt.body)
			})
			if _, err := c.Get(t.Context(), "k"); !store.IsKind(err, tt.read) {
				t.Errorf("read: %v, want kind %v", err, tt.read)
			}
			if _, err := c.Put(t.Context(), "k", nil, 0, 0); !store.IsKind(err, tt.write) {
				t.Errorf("write: %v, want kind %v", err, tt.write)
			}
		})
	}
}

func TestKindsWithoutAnswer(t *testing.T) {
	hangUp := serve(t, func(ctx *fasthttp.RequestCtx) {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { c.Close() })
	})
	late, cancel := context.WithTimeout(t.Context(), -time.Second)
	defer cancel()
	tests := []struct {
		name  string
		ctx   context.Context
		c     *store.Client
		data  []byte
		read  store.Kind
		write store.Kind
	}{
		{"hung up", t.Context(), hangUp, nil, store.Unavailable, store.Indefinite},
		{"nobody there", t.Context(), store.NewClient("127.0.0.1:1", "127.0.0.1:1"), nil, store.Unavailable, store.Unavailable},
		{"out of time before the call", late, hangUp, nil, store.Unavailable, store.Unavailable},
		{"value too large", t.Context(), hangUp, make([]byte, store.MaxValue+1), store.Unavailable, store.Invalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if _, err := tt.c.Get(tt.ctx, "k"); !store.IsKind(err, tt.read) {
				t.Errorf("read: %v, want kind %v", err, tt.read)
			}
			if _, err := tt.c.Put(tt.ctx, "k", tt.data, 0, 0); !store.IsKind(err, tt.write) {
				t.Errorf("write: %v, want kind %v", err, tt.write)
			}
		})
	}
}

func TestWatch(t *testing.T) {
	p := standin.NewPlatform(nil)
	c := serve(t, p.Handle)
	rev, err := c.Put(t.Context(), "k", []byte("a"), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	if v, err := c.Watch(t.Context(), "k", 0); err != nil || string(v.Data) != "a" {
		t.Fatalf("older revision: %+v, %v", v, err)
	}
	short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := c.Watch(short, "k", rev); !store.IsKind(err, store.Unchanged) && !store.IsKind(err, store.Unavailable) {
		t.Fatalf("no news: %v", err)
	}
	type result struct {
		v   store.Value
		err error
	}
	watch := func(ctx context.Context, after int64) <-chan result {
		out := make(chan result, 1)
		go func() {
			v, err := c.Watch(ctx, "k", after)
			out <- result{v, err}
		}()
		return out
	}
	got := watch(t.Context(), rev)
	next, err := c.Put(t.Context(), "k", []byte("b"), rev, 0)
	if err != nil {
		t.Fatal(err)
	}
	want := store.Value{Data: []byte("b"), Revision: next}
	if r := <-got; r.err != nil || !cmp.Equal(r.v, want) {
		t.Fatalf("news: %+v", r)
	}
	cancelled, cancel := context.WithCancel(t.Context())
	got = watch(cancelled, next)
	cancel()
	if r := <-got; !store.IsKind(r.err, store.Unavailable) {
		t.Fatalf("cancelled: %+v", r)
	}
	got = watch(t.Context(), next)
	p.SetFaults(standin.PlatformFaults{Down: true})
	if r := <-got; !store.IsKind(r.err, store.Unavailable) {
		t.Fatalf("platform gone: %+v", r)
	}
}

func TestListFaults(t *testing.T) {
	list := []store.Instance{{ID: "a", Address: "127.0.0.1:1"}}
	p := standin.NewPlatform(list)
	c := serve(t, p.Handle)
	if got, err := c.Instances(t.Context()); err != nil || !cmp.Equal(got, list) {
		t.Fatalf("list %v, %v", got, err)
	}
	p.SetFaults(standin.PlatformFaults{ListDown: true})
	if _, err := c.Instances(t.Context()); !store.IsKind(err, store.Unavailable) {
		t.Fatalf("list down: %v", err)
	}
	if _, err := c.Put(t.Context(), "k", nil, 0, 0); err != nil {
		t.Fatalf("the store is not: %v", err)
	}
}

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(
		m,
		// The HTTP library's own goroutines, which end after a while.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
	)
}
