package proctest

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/headers"
	"github.com/catkinrouter/catkinrouter/standin"
)

// An entry answers calls after its agent has been killed.
func TestCallAnsweredWithoutAgent(t *testing.T) {
	s := New(t, Options{Entries: 2, Lifetime: time.Second, Services: []standin.ServiceSettings{
		{Name: "pistas", Count: 3, Slots: 6, Queue: 10, Connections: 250, Work: config.Duration(time.Millisecond)},
	}})
	s.StartAll()
	s.Agent(0).Kill()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + s.EntryAddress(0) + "/clue")
	req.Header.SetHost("pistas")
	req.UseHostHeader = true
	if err := fasthttp.DoTimeout(req, resp, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	if got := string(resp.Header.Peek(headers.Outcome)); got != "answered" {
		t.Fatalf("outcome %q, body %s", got, resp.Body())
	}
}
