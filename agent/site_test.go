package agent_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/headers"
	"github.com/catkinrouter/catkinrouter/internal/fixedseed"
	"github.com/catkinrouter/catkinrouter/internal/proctest"
	"github.com/catkinrouter/catkinrouter/proxy"
	"github.com/catkinrouter/catkinrouter/standin"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

func services() []standin.ServiceSettings {
	return []standin.ServiceSettings{
		{Name: "pistas", Count: 3, Slots: 6, Queue: 10, Connections: 250, Work: config.Duration(time.Millisecond)},
	}
}

// lookup requests addresses of service pistas from the entry at addr.
func lookup(addr string) (proxy.LookupAnswer, error) {
	var a proxy.LookupAnswer
	code, b, err := fasthttp.GetTimeout(nil, "http://"+addr+headers.LookupPath+"?service=pistas", time.Second)
	if err != nil || code != fasthttp.StatusOK {
		return a, err
	}
	return a, json.Unmarshal(b, &a)
}

// Lookups at each entry must return all live entries, and stop returning one that
// was killed.
func TestLookupReturnsLiveEntries(t *testing.T) {
	const n = 3
	s := proctest.New(t, proctest.Options{Entries: n, Lifetime: time.Second, Services: services()})
	s.StartAll()
	returns := func(i, want int) func() bool {
		return func() bool {
			a, err := lookup(s.EntryAddress(i))
			return err == nil && len(a.Addresses) == want
		}
	}
	for i := range n {
		s.Eventually(15*time.Second, "lookups return all entries", returns(i, n))
	}
	s.Entry(2).Kill()
	for i := range n - 1 {
		s.Eventually(15*time.Second, "lookups no longer return the killed entry", returns(i, n-1))
	}
}
