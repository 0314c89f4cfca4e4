package node_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/node"
	"github.com/catkinrouter/catkinrouter/standin"
)

// configureKeys writes a configuration with a public route and one for customers, one of which
// holds the key.
func configureKeys(kv *standin.KV, version int, key string) {
	kv.Put("op/config", fmt.Appendf(nil, `{"version":%d,
"routes":{"columns":["name","host","prefix","routeKind","timeoutMs","targetLatencyMs","priority","maxAttempts","service","public"],
"rows":[["r",%[2]q,"/x/","unsafe",2000,1000,1,2,"tienda",false],["p",%[2]q,"/p/","unsafe",2000,1000,1,2,"tienda",true]]},
"tenants":{"columns":["name","apiKeys"],"rows":[["museo",[%[3]q]]]},
"services":{"columns":["name","healthPath","maxConns"],"rows":[["tienda","/health",260]]},"limits":{}}`, version, host, key))
}

// status sends one request with the key and returns the response's status, 0 without one.
func (r *running) status(path, key string) int {
	c, err := net.Dial("tcp4", r.set.DataAddress)
	if err != nil {
		return 0
	}
	defer c.Close()
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nX-Catkinrouter-Attempt-Id: k\r\nContent-Length: 0\r\n\r\n", path, host, key)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// ready reports whether the readiness check passes.
func (r *running) ready() bool {
	resp, err := http.Get("http://" + r.set.ReadyAddress + "/v1/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// lookedUp returns the number of addresses in the node's answer to a lookup.
func (r *running) lookedUp() int {
	resp, err := http.Get("http://" + r.set.LookupAddress + "/v1/resolve?name=" + host + "&zone=otavalo")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var a struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(resp.Body).Decode(&a) != nil {
		return 0
	}
	return len(a.Addresses)
}

// While the store answers no one, a key that may be withdrawn must be refused, an instance that
// starts must not serve one, and lookups and public routes must go on. A key that was withdrawn
// meanwhile must not work after the outage.
func TestKeysFailClosed(t *testing.T) {
	const limit = 2 * time.Second
	s := newSite(t, 0)
	s.change = func(set *node.Settings) { set.KeyMaxAge = limit }
	for i := range 2 {
		s.list = append(s.list, s.start(i))
	}
	newBackend(t, "i-a").register(s.kv, "tienda", "ready", 1)
	configureKeys(s.kv, 1, "old")
	all := func(condition func(*running) bool) {
		t.Helper()
		for _, r := range s.list {
			r.waitUntil(t, func() bool { return condition(r) })
		}
	}
	all(func(r *running) bool { return r.status("/x/1", "old") == 200 && r.ready() && r.lookedUp() == 2 })

	s.kv.SetFaults(standin.KVFaults{Status: 503})
	configureKeys(s.kv, 2, "new")
	withdrawn := time.Now()
	for time.Since(withdrawn) < limit+limit/4 {
		for _, r := range s.list {
			sent := time.Now()
			if status := r.status("/x/1", "old"); status == 200 && sent.Sub(withdrawn) > limit {
				t.Errorf("%s served a key %v after it was withdrawn", r.set.ID, sent.Sub(withdrawn))
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.list = append(s.list, s.start(2))
	all(func(r *running) bool { return !r.ready() && r.status("/x/1", "old") == 503 })
	for _, r := range s.list[:2] {
		if status := r.status("/p/1", "old"); status != 200 {
			t.Errorf("%s: status %d on a public route", r.set.ID, status)
		}
		r.waitUntil(t, func() bool { return r.lookedUp() >= 2 })
	}

	s.kv.SetFaults(standin.KVFaults{})
	all(func(r *running) bool { return r.status("/x/1", "new") == 200 && r.ready() && r.lookedUp() == 3 })
	for _, r := range s.list {
		if status := r.status("/x/1", "old"); status != 401 {
			t.Errorf("%s: status %d for the withdrawn key", r.set.ID, status)
		}
	}
}

// A store that came back from an older copy must not bring a withdrawn key back to an instance
// that starts while others know better.
func TestRestoredStoreBringsNoKeyBack(t *testing.T) {
	s := newSite(t, 0)
	s.change = func(set *node.Settings) { set.KeyMaxAge = 3 * time.Second }
	s.list = append(s.list, s.start(0))
	first := s.list[0]
	newBackend(t, "i-a").register(s.kv, "tienda", "ready", 1)
	configureKeys(s.kv, 1, "old")
	first.waitUntil(t, func() bool { return first.status("/x/1", "old") == 200 })
	older := s.kv.Backup()
	configureKeys(s.kv, 2, "new")
	first.waitUntil(t, func() bool { return first.status("/x/1", "old") == 401 })
	s.kv.Restore(older)
	s.list = append(s.list, s.start(1))
	second := s.list[1]
	second.waitUntil(t, func() bool {
		if second.status("/x/1", "old") == 200 {
			t.Fatal("the withdrawn key works again")
		}
		return second.status("/x/1", "new") == 200
	})
}
