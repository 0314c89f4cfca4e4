package store_test

import (
	"net"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/standin"
	"github.com/catkinrouter/catkinrouter/store"
)

// ListDown makes the list unavailable, but not the key-value store at the same
// address.
func TestListUnavailable(t *testing.T) {
	list := []store.Instance{{ID: "a", Address: "127.0.0.1:1"}}
	p := standin.NewPlatform(list)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go fasthttp.Serve(ln, p.Handle)
	c := store.NewListClient(ln.Addr().String())
	defer c.Close()
	if got, malformed, err := c.Instances(t.Context()); err != nil || len(malformed) > 0 || !cmp.Equal(got, list) {
		t.Fatalf("list %v, malformed %v, %v", got, malformed, err)
	}
	p.SetFaults(standin.PlatformFaults{ListDown: true})
	if _, _, err := c.Instances(t.Context()); !store.IsKind(err, store.Unavailable) {
		t.Fatalf("list down: %v", err)
	}
	status, _, err := fasthttp.Get(nil, "http://"+ln.Addr().String()+"/v1/kv-range?prefix=")
	if err != nil || status != fasthttp.StatusOK {
		t.Fatalf("the key-value store is down as well: status %d, %v", status, err)
	}
}

// listOf returns a client of a platform that answers with the given body.
func listOf(t *testing.T, body string) *store.ListClient {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go fasthttp.Serve(ln, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(body) })
	c := store.NewListClient(ln.Addr().String())
	t.Cleanup(c.Close)
	return c
}

// One odd entry kept agents from following the platform's list.
func TestOddEntryOfTheListHarmsNoOther(t *testing.T) {
	nested := strings.Repeat(`{"a":[`, 100_000) + strings.Repeat("]}", 100_000)
	for _, odd := range []string{
		nested, `{"id":"b","address":"127.0.0.1:2","more":` + nested + `}`, `7`, `"text"`, `null`, `[]`, `{}`, `1e999`,
		`{"id":7,"address":"127.0.0.1:2"}`, `{"id":"b","address":"127.0.0.1:65536"}`, `{"id":"b","address":"127.0.0.1:0"}`,
		`{"id":"b","address":"0.0.0.0:2"}`, `{"id":"b","address":"127.0.0.1:-2"}`, `{"id":"","address":"127.0.0.1:2"}`,
		`{"id":"b","address":"127.0.0.1:2","leaving":1e999}`,
	} {
		c := listOf(t, `{"more": [1e999], "instances" : [ {"id":"a","address":"127.0.0.1:1"} , `+odd+` ,{"id":"c","address":"127.0.0.1:3","leaving":true}] , "and":{}}`)
		got, malformed, err := c.Instances(t.Context())
		want := []store.Instance{{ID: "a", Address: "127.0.0.1:1"}, {ID: "c", Address: "127.0.0.1:3", Leaving: true}}
		if err != nil || !cmp.Equal(got, want) {
			t.Errorf("%.60s: list %v, %v", odd, got, err)
		}
		if len(malformed) != 1 || malformed[0].Index != 1 {
			t.Errorf("%.60s: malformed %v", odd, malformed)
		}
	}
}

func TestNoList(t *testing.T) {
	for _, body := range []string{"", "[]", "7", `{"instances":7}`, `{"instances":[`, `{"instances":[7}`, `{"instances":[]`} {
		if got, _, err := listOf(t, body).Instances(t.Context()); !store.IsKind(err, store.Invalid) {
			t.Errorf("%q: list %v, %v", body, got, err)
		}
	}
	for _, body := range []string{`{}`, `{"instances":null}`, `{"instances":[]}`} {
		if got, _, err := listOf(t, body).Instances(t.Context()); err != nil || len(got) > 0 {
			t.Errorf("%q: list %v, %v", body, got, err)
		}
	}
}
