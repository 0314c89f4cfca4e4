package ctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/ctl"
	"github.com/catkinrouter/catkinrouter/operator"
	"github.com/catkinrouter/catkinrouter/store/storetest"
)

const documentText = `{
  // Two upstreams in two data centres.
  "site": "test", "max_entries": 19,
  "lookup": {"lifetime": "10s", "addresses": 3},
  "data_centres": [{"name": "bole", "region": "addis"}, {"name": "yeka", "region": "addis"}],
  "permit_keys": [{"id": "k1", "secret": "MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3ODlhYmNkZWY="}],
  "services": [{"name": "stockview", "upstreams": [
    {"id": "s1", "address": "10.0.0.1:80", "data_centre": "bole", "slots": 3, "connections": 250},
    {"id": "s2", "address": "10.0.0.2:80", "data_centre": "yeka", "slots": 3, "connections": 250},
  ]}],
}`

// agent serves the intent API on a store with the injected faults.
type agent struct {
	t     *testing.T
	addr  string
	fault func(storetest.Call) storetest.Fault
}

func newAgent(t *testing.T) *agent {
	a := &agent{t: t, fault: func(storetest.Call) storetest.Fault { return storetest.None }}
	store := storetest.NewStore(time.Now, nil)
	client := store.Client("agent", func(_ context.Context, c storetest.Call) storetest.Fault { return a.fault(c) })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a.addr = ln.Addr().String()
	srv := &fasthttp.Server{Handler: operator.Handler(config.NewCommitter(client), operator.WithStatus(a)), CloseOnShutdown: true}
	go srv.Serve(ln)
	t.Cleanup(func() { srv.Shutdown() })
	return a
}

func (a *agent) Status() operator.Status {
	return operator.Status{Instance: "addis-1", Revision: 1, Instances: []operator.InstanceStatus{{ID: "addis-2", HeartbeatAgeMillis: 40}}}
}

func (a *agent) run(args ...string) (code int, out, errs string) {
	var stdout, stderr bytes.Buffer
	code = ctl.Run(append([]string{"-agent", a.addr}, args...), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// mustRun runs a command, fails the test unless it succeeds, and returns its
// output.
func (a *agent) mustRun(args ...string) string {
	a.t.Helper()
	code, out, errs := a.run(args...)
	if code != ctl.ExitOK {
		a.t.Fatalf("%v: exit code %d: %s", args, code, errs)
	}
	return out
}

func writeDocument(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "document.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func planID(out string) string {
	var id string
	fmt.Sscanf(out, "plan %s", &id)
	return id
}

func TestPlanAndConfirm(t *testing.T) {
	a := newAgent(t)
	first := planID(a.mustRun("plan", "-f", writeDocument(t, documentText)))
	a.mustRun("confirm", first)
	out := a.mustRun("drain", "s1")
	for _, want := range []string{"plan " + planID(out) + " on revision 1", "leaving", "3 -> 0", "50.0% -> 0.0%", "warning (data-centre-emptied)"} {
		if !strings.Contains(out, want) {
			t.Errorf("plan does not say %q:\n%s", want, out)
		}
	}
	drain := planID(out)
	for range 2 { // confirming again gives the same commit
		if out := a.mustRun("confirm", drain); !strings.HasPrefix(out, "revision 2 by plan "+drain) {
			t.Errorf("confirm says %s", out)
		}
	}
	if out := a.mustRun("plan", "-f", writeDocument(t, a.mustRun("show", "-document"))); !strings.Contains(out, "the document equals the configuration in force") {
		t.Errorf("unchanged plan says:\n%s", out)
	}
	if out := a.mustRun("show"); !strings.Contains(out, "leaving") {
		t.Errorf("show says:\n%s", out)
	}
	if out := a.mustRun("diff", "1"); !strings.Contains(out, "from revision 1 to 2") || !strings.Contains(out, "s1") {
		t.Errorf("diff says:\n%s", out)
	}
	if out := a.mustRun("history"); !strings.Contains(out, first) || !strings.Contains(out, drain) {
		t.Errorf("history says:\n%s", out)
	}
	if out := a.mustRun("status"); !strings.Contains(out, "addis-2") {
		t.Errorf("status says:\n%s", out)
	}
	var accepted config.Accepted
	if err := json.Unmarshal([]byte(a.mustRun("-json", "confirm", first)), &accepted); err != nil || accepted.Revision != 1 || accepted.InForce != 2 {
		t.Errorf("confirm as JSON: %+v, %v", accepted, err)
	}
}

func TestRefusals(t *testing.T) {
	a := newAgent(t)
	valid := writeDocument(t, documentText)
	a.mustRun("confirm", planID(a.mustRun("plan", "-f", valid)))
	stale := planID(a.mustRun("drain", "s1"))
	a.mustRun("confirm", planID(a.mustRun("drain", "s2")))
	pending := planID(a.mustRun("drain", "s1"))
	down := func(storetest.Call) storetest.Fault { return storetest.Down }
	lostPuts := func(c storetest.Call) storetest.Fault {
		if c.Op == storetest.Put {
			return storetest.LostRequest
		}
		return storetest.None
	}
	unknownKey := writeDocument(t, strings.Replace(documentText, `"slots"`, `"slotz"`, 1))
	wrongValues := writeDocument(t, strings.NewReplacer(`"10s"`, `10`, `"slots": 3`, `"slots": "3"`).Replace(documentText))
	badValues := writeDocument(t, strings.NewReplacer(`10.0.0.2:80`, `10.0.0.1:80`, `"yeka", "slots"`, `"jimma", "slots"`).Replace(documentText))
	tests := []struct {
		name  string
		args  []string
		fault func(storetest.Call) storetest.Fault
		code  int
		texts []string
	}{
		{"no command", nil, nil, ctl.ExitUsage, []string{"use one of plan"}},
		{"unknown command", []string{"plann"}, nil, ctl.ExitUsage, []string{`unknown command "plann"`}},
		{"no file", []string{"plan"}, nil, ctl.ExitUsage, []string{"with -f"}},
		{"missing file", []string{"plan", "-f", "/nonexistent"}, nil, ctl.ExitUsage, []string{"with -f"}},
		{"no upstream", []string{"drain"}, nil, ctl.ExitUsage, []string{"needs the ID of an upstream"}},
		{"two plans", []string{"confirm", stale, pending}, nil, ctl.ExitUsage, []string{"takes one plan"}},
		{"unexpected argument", []string{"status", "x"}, nil, ctl.ExitUsage, []string{"leave it out"}},
		{"malformed revision", []string{"diff", "newest"}, nil, ctl.ExitUsage, []string{"as history shows it"}},
		{"invalid agent address", []string{"-agent", "localhost", "show"}, nil, ctl.ExitUsage, []string{"write it like"}},
		{"incomplete add", []string{"add", "-id", "s9"}, nil, ctl.ExitUsage, []string{"add -h"}},
		{"stale", []string{"confirm", stale}, nil, ctl.ExitRefused, []string{"plan again", "revision 2", "s2", "leaving"}},
		{"unknown plan", []string{"confirm", "0123456789abcdef"}, nil, ctl.ExitRefused, []string{"unknown-plan", "plan again"}},
		{"malformed plan ID", []string{"confirm", "../head"}, nil, ctl.ExitInvalid, []string{"copy the 16 digits"}},
		{"revision not kept", []string{"diff", "77"}, nil, ctl.ExitRefused, []string{"not-kept"}},
		{"unknown upstream", []string{"drain", "s1", "s8"}, nil, ctl.ExitInvalid, []string{"drain[1]", "unknown upstream s8"}},
		{"unknown service", []string{"add", "-service", "x", "-id", "s9", "-address", "10.0.0.9:80"}, nil, ctl.ExitInvalid, []string{"unknown service x"}},
		{"unknown key", []string{"plan", "-f", unknownKey}, nil, ctl.ExitInvalid, []string{"document.json:8:", "services[0].upstreams[0].slotz", "unknown key"}},
		{"wrong types", []string{"plan", "-f", wrongValues}, nil, ctl.ExitInvalid, []string{":4: ", "lookup.lifetime", "250ms", ":8: ", ":9: ", "a whole number"}},
		{"bad values", []string{"plan", "-f", badValues}, nil, ctl.ExitInvalid, []string{":9: services[0].upstreams[1].address", "used by services[0].upstreams[0].address", "unknown data centre \"jimma\""}},
		{"store down", []string{"confirm", pending}, down, ctl.ExitUnavailable, []string{"put nothing in force", "retry with the same plan"}},
		{"plan with the store down", []string{"drain", "s1"}, down, ctl.ExitUnavailable, []string{"unavailable"}},
		{"no answer", []string{"confirm", pending}, lostPuts, ctl.ExitIndefinite, []string{"retry with the same plan"}},
		{"agent down", []string{"-agent", "127.0.0.1:1", "confirm", pending}, nil, ctl.ExitUnavailable, []string{"name a live agent"}},
		{"confirmed after an indefinite answer", []string{"confirm", pending}, nil, ctl.ExitOK, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if tt.fault != nil {
				a.fault = tt.fault
				defer func() { a.fault = func(storetest.Call) storetest.Fault { return storetest.None } }()
			}
			code, _, errs := a.run(tt.args...)
			if code != tt.code {
				t.Errorf("exit code %d, want %d: %s", code, tt.code, errs)
			}
			for _, want := range tt.texts {
				if !strings.Contains(errs, want) {
					t.Errorf("does not say %q: %s", want, errs)
				}
			}
		})
	}
}
