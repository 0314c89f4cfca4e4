package node_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// callAs sends a request with a key and returns the status and Retry-After.
func (r *running) callAs(t *testing.T, key, id string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+r.set.DataAddress+"/x/"+id, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Catkinrouter-Attempt-Id", id)
	req.Header.Set("X-Catkinrouter-Deadline-Ms", "2000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode, resp.Header.Get("Retry-After")
}

// A customer must not get its limit once from each instance: the instances ask one of them
// for its tokens.
func TestLimitHoldsOverAllInstances(t *testing.T) {
	const burst = 6
	s := newSite(t, 3)
	b := newBackend(t, "i-a")
	b.register(s.kv, "tienda", "ready", 1)
	s.kv.Put("op/config", fmt.Appendf(nil, `{"version":1,
"routes":{"columns":["name","host","prefix","routeKind","timeoutMs","targetLatencyMs","priority","maxAttempts","service"],
"rows":[["r",%q,"/x/","unsafe",2000,1000,1,2,"tienda"]]},
"services":{"columns":["name","healthPath","maxConns"],"rows":[["tienda","/health",260]]},
"tenants":{"columns":["name","apiKeys","ratePerS","burst"],"rows":[["limited",["limited-key"],0.1,%d],["probe",["probe-key"],1000,1000]]},"limits":{}}`, host, burst))
	// Instances that have just started do not allocate. A customer that they know since
	// then gets its limit without the burst, so another one tells when they do.
	for i := 0; ; i++ {
		if status, _ := s.list[0].callAs(t, "probe-key", fmt.Sprint("probe-", i)); status == http.StatusOK {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Second) // the instances did not start at the same moment
	admitted := 0
	for i := range 5 * burst {
		status, retryAfter := s.list[i%3].callAs(t, "limited-key", fmt.Sprint("x-", i))
		switch status {
		case http.StatusOK:
			admitted++
		case http.StatusTooManyRequests:
			if retryAfter == "" {
				t.Error("429 without Retry-After")
			}
		default:
			t.Errorf("status %d", status)
		}
	}
	if admitted > burst+1 || admitted < burst {
		t.Errorf("%d requests admitted, want the burst of %d", admitted, burst)
	}
}
