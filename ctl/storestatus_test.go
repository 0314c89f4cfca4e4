package ctl

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/catkinrouter/catkinrouter/platform"
)

// Operators saw an odd row of their configuration in the instances' logs and metrics only.
func TestStatusShowsProblemsOfTheConfiguration(t *testing.T) {
	kv, address := startKV(t)
	run := func(want int, args ...string) (stdout, stderr string) {
		t.Helper()
		var out, errs bytes.Buffer
		if code := Run(args, &out, &errs); code != want {
			t.Errorf("%v: exit code %d, %s", args, code, &errs)
		}
		return out.String(), errs.String()
	}
	if _, errs := run(ExitFault, "status", "-store", address); !strings.Contains(errs, "write a configuration") {
		t.Errorf("without a configuration: %q", errs)
	}
	kv.Put(platform.Keys().Configuration, []byte(`{"version":7,"routes":{"columns":["name","host","prefix","service","routeKind","timeoutMs","priority"],"rows":[["r1","h1","/a/","s1","safe",500,1],["r2","h1","/b/","s1","safe",500,"high"]]},
		"services":{"columns":["name"],"rows":[["s1"]]},"limits":{"maxHeaderBytes":1e9}}`))
	out, _ := run(ExitOK, "status", "-store", address)
	for _, want := range []string{"version 7", "2 routes, 1 services, 2 problems", "r2", "priority", "maxHeaderBytes", "taken as"} {
		if !strings.Contains(out, want) {
			t.Errorf("status lacks %q:\n%s", want, out)
		}
	}
	out, _ = run(ExitOK, "-json", "status", "-store", address)
	var s storeStatus
	if err := json.Unmarshal([]byte(out), &s); err != nil || s.Version != 7 || len(s.Problems) != 2 {
		t.Errorf("%v, %+v", err, s)
	}
	kv.Put(platform.Keys().Configuration, []byte("{"))
	if _, errs := run(ExitFault, "status", "-store", address); !strings.Contains(errs, "can't be read") {
		t.Errorf("with an unreadable configuration: %q", errs)
	}
	run(ExitUsage, "status", "-store", "nowhere")
}
