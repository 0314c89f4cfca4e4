package gateway

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// More callers than the instance has connections for must be told at once when to come back,
// and those that are served must be served to the end.
func TestCrowdOfCallers(t *testing.T) {
	const most, crowd = 8, 60
	var running atomic.Int32
	release := make(chan struct{})
	u := newStub(t, "u", func(s *stub, c net.Conn, r *http.Request, body string) bool {
		running.Add(1)
		<-release
		return answerOK(s, c, r, body)
	})
	tg := newTestGatewayWith(t, func(o *Options) { o.MaxCallers = most })
	tg.setFleet(tg)
	tg.configure(5*time.Second, u)
	u.setLoad("0,0,100")
	var wg sync.WaitGroup
	var answered, refused atomic.Int32
	call := func(i int) {
		id := "p-" + strconv.Itoa(i)
		began := time.Now()
		r := tg.call(http.MethodPost, "/purchase/1", id, "pack")
		switch {
		case r.err == nil && r.status == http.StatusOK:
			answered.Add(1)
		case r.err == nil && r.status == http.StatusServiceUnavailable && r.header.Get("Retry-After") != "" && r.closes && u.runCount(id) == 0:
			refused.Add(1)
			if took := time.Since(began); took > 2*time.Second {
				t.Errorf("refused after %v", took)
			}
		default:
			t.Errorf("%s: status %d, error %v, ran %d times", id, r.status, r.err, u.runCount(id))
		}
	}
	for i := range most {
		wg.Go(func() { call(i) })
	}
	for end := time.Now().Add(5 * time.Second); running.Load() < most; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d of %d requests run", running.Load(), most)
		}
	}
	for i := range crowd {
		call(most + i)
	}
	if n := refused.Load(); n != crowd {
		t.Errorf("%d of %d were refused", n, crowd)
	}
	close(release)
	wg.Wait()
	if n := answered.Load(); n != most {
		t.Errorf("%d of %d were answered", n, most)
	}
}
