package operator_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/operator"
	"github.com/catkinrouter/catkinrouter/store/storetest"
)

const document = `{"site": "test", "max_entries": 3, "lookup": {"lifetime": "10s", "addresses": 1},
  "data_centres": [{"name": "bole", "region": "addis"}],
  "permit_keys": [{"id": "k1", "secret": "MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3ODlhYmNkZWY="}],
  "services": [{"name": "stockview", "upstreams": [
    {"id": "s1", "address": "10.0.0.1:80", "data_centre": "bole", "slots": 3, "connections": 250}]}]}`

// do sends a request to h, decodes the response body into out and returns the
// status code.
func do(t *testing.T, h fasthttp.RequestHandler, method, uri, body string, out any) int {
	t.Helper()
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod(method)
	ctx.Request.SetRequestURI(uri)
	ctx.Request.SetBodyString(body)
	h(&ctx)
	if err := json.Unmarshal(ctx.Response.Body(), out); err != nil {
		t.Fatalf("%s %s: %v: %s", method, uri, err, ctx.Response.Body())
	}
	return ctx.Response.StatusCode()
}

func TestRefusalsAreTypedAndCounted(t *testing.T) {
	metrics := gometrics.NewRegistry()
	h := operator.Handler(config.NewCommitter(storetest.NewStore(time.Now, nil).Client("test", nil)), operator.WithMetrics(metrics))
	tests := []struct {
		name, method, uri, body string
		status                  int
		kind                    operator.Kind
		message                 string
	}{
		{"unknown path", "GET", "/v2/plan", "", 404, operator.KindNotFound, operator.PlanPath},
		{"wrong method", "GET", operator.PlanPath, "", 405, operator.KindMethod, "use POST"},
		{"wrong method for a read", "DELETE", operator.ShowPath, "", 405, operator.KindMethod, "use GET or POST"},
		{"too large", "POST", operator.PlanPath, strings.Repeat(" ", operator.MaxBodyBytes+1), 413, operator.KindTooLarge, "shorten"},
		{"empty body", "POST", operator.PlanPath, "", 400, operator.KindMalformed, "write JSON"},
		{"not JSON", "POST", operator.ConfirmPath, "{", 400, operator.KindMalformed, "write JSON"},
		{"unknown key", "POST", operator.PlanPath, strings.Replace(document, "slots", "slotz", 1), 400, operator.KindMalformed, "services[0].upstreams[0].slotz"},
		{"wrong type", "POST", operator.PlanPath, strings.Replace(document, `"10s"`, "10", 1), 400, operator.KindMalformed, "lookup.lifetime"},
		{"invalid document", "POST", operator.PlanPath, strings.Replace(document, "10.0.0.1:80", "here", 1), 400, operator.KindInvalid, "services[0].upstreams[0].address"},
		{"intent without a document", "POST", operator.IntentPath, `{"drain": ["s1"]}`, 400, operator.KindInvalid, "plan a whole document first"},
		{"malformed plan ID", "POST", operator.ConfirmPath, `{"plan": "../head"}`, 400, operator.KindMalformed, "copy the 16 digits"},
		{"unknown plan", "POST", operator.ConfirmPath, `{"plan": "0123456789abcdef"}`, 404, operator.KindUnknownPlan, "plan again"},
		{"malformed revision", "GET", operator.DiffPath + "?from=-1", "", 400, operator.KindMalformed, "as history shows it"},
		{"revision not kept", "GET", operator.DiffPath + "?from=9", "", 404, operator.KindNotKept, "not kept"},
		{"no status", "GET", operator.StatusPath, "", 404, operator.KindNotFound, "another agent"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			name := "operator.refused." + string(tt.kind)
			before := gometrics.GetOrRegisterCounter(name, metrics).Count()
			var f operator.Fault
			status := do(t, h, tt.method, tt.uri, tt.body, &f)
			if status != tt.status || f.Kind != tt.kind || !strings.Contains(strings.Join(f.Faults, "; "), tt.message) {
				t.Errorf("status %d, fault %+v", status, f)
			}
			if n := gometrics.GetOrRegisterCounter(name, metrics).Count() - before; n != 1 {
				t.Errorf("%s rose by %d", name, n)
			}
		})
	}
}

// A successful confirm passes its head to the callback; a confirm while the
// store is down is refused with KindUnavailable.
func TestConfirmPassesHeadToCallback(t *testing.T) {
	var replica config.Replica
	down := false
	store := storetest.NewStore(time.Now, nil).Client("test", func(context.Context, storetest.Call) storetest.Fault {
		if down {
			return storetest.Down
		}
		return storetest.None
	})
	h := operator.Handler(config.NewCommitter(store), operator.WithOnAccepted(func(head config.Head) {
		if _, err := replica.Offer(head); err != nil {
			t.Error(err)
		}
	}))
	var p config.Plan
	if status := do(t, h, "POST", operator.PlanPath, document, &p); status != 200 || p.Document != nil {
		t.Fatalf("status %d, plan %+v", status, p)
	}
	confirm := `{"plan": "` + p.ID + `"}`
	var f operator.Fault
	down = true
	if status := do(t, h, "POST", operator.ConfirmPath, confirm, &f); status != 503 || f.Kind != operator.KindUnavailable {
		t.Fatalf("status %d, fault %+v", status, f)
	}
	down = false
	var a config.Accepted
	if status := do(t, h, "POST", operator.ConfirmPath, confirm, &a); status != 200 || a.Revision != 1 || replica.Version().Revision != 1 {
		t.Fatalf("status %d, accepted %+v, replica %+v", status, a, replica.Version())
	}
}

// Requests beyond MaxConcurrentRequests are refused without waiting.
func TestConcurrentRequestLimit(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	store := storetest.NewStore(time.Now, nil).Client("test", func(context.Context, storetest.Call) storetest.Fault {
		started <- struct{}{}
		<-release
		return storetest.None
	})
	h := operator.Handler(config.NewCommitter(store))
	done := make(chan struct{})
	for range operator.MaxConcurrentRequests {
		go func() {
			var ctx fasthttp.RequestCtx
			ctx.Request.SetRequestURI(operator.ShowPath)
			h(&ctx)
			done <- struct{}{}
		}()
		<-started
	}
	var f operator.Fault
	if status := do(t, h, "GET", operator.ShowPath, "", &f); status != 429 || f.Kind != operator.KindBusy {
		t.Errorf("status %d, fault %+v", status, f)
	}
	close(release)
	for range operator.MaxConcurrentRequests {
		<-done
	}
}
