package store_test

import (
	"net"
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
	if got, err := c.Instances(t.Context()); err != nil || !cmp.Equal(got, list) {
		t.Fatalf("list %v, %v", got, err)
	}
	p.SetFaults(standin.PlatformFaults{ListDown: true})
	if _, err := c.Instances(t.Context()); !store.IsKind(err, store.Unavailable) {
		t.Fatalf("list down: %v", err)
	}
	status, _, err := fasthttp.Get(nil, "http://"+ln.Addr().String()+"/v1/kv-range?prefix=")
	if err != nil || status != fasthttp.StatusOK {
		t.Fatalf("the key-value store is down as well: status %d, %v", status, err)
	}
}
