package gateway

import (
	"testing"
	"time"

	"github.com/catkinrouter/catkinrouter/route"
)

// A route that moves to another service must not take over the work measured at
// the first one: large downloads would make ordinary requests look fast, and the
// reverse would hedge every download.
func TestWorkIsMeasuredByRouteAndService(t *testing.T) {
	r := &route.Route{Rule: route.Rule{Name: "download"}}
	before, after := &call{route: r, service: route.Service{Name: "manuals"}}, &call{route: r, service: route.Service{Name: "desk"}}
	if before.workKey() == after.workKey() {
		t.Error("calls of a route to two services share one estimate")
	}
	w := newWorkEstimates()
	manuals, desk := workKey{"download", "manuals"}, workKey{"download", "desk"}
	for range 100 {
		w.init(manuals, 300*time.Millisecond)
		w.recordWork(manuals, 900*time.Millisecond)
	}
	w.init(desk, 300*time.Millisecond)
	if d := w.workOf(desk); d != 100*time.Millisecond {
		t.Errorf("work at a service without measurements is %v, want a third of the target", d)
	}
	if d := w.workOf(manuals); d < 800*time.Millisecond {
		t.Errorf("work at the measured service is %v", d)
	}
}
