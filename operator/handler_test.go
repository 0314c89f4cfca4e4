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

// ask calls h and returns the status and the body read into out.
func ask(t *testing.T, h fasthttp.RequestHandler, method, uri, body string, out any) int {
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
		says                    string
	}{
		{"unknown path", "GET", "/v2/plan", "", 404, operator.KindNotFound, operator.PlanPath},
		{"wrong method", "GET", operator.PlanPath, "", 405, operator.KindMethod, "use POST"},
		{"wrong method for a read", "DELETE", operator.ShowPath, "", 405, operator.KindMethod, "use GET or POST"},
		{"too large", "POST", operator.PlanPath, strings.Repeat(" ", operator.MaxBody+1), 413, operator.KindTooLarge, "shorten"},
		{"empty body", "POST", operator.PlanPath, "", 400, operator.KindMalformed, "write JSON"},
		{"not JSON", "POST", operator.ConfirmPath, "{", 400, operator.KindMalformed, "write JSON"},
		{"unknown key", "POST", operator.PlanPath, strings.Replace(document, "slots", "slotz", 1), 400, operator.KindMalformed, "services[0].upstreams[0].slotz"},
		{"wrong type", "POST", operator.PlanPath, strings.Replace(document, `"10s"`, "10", 1), 400, operator.KindMalformed, "lookup.lifetime"},
		{"faulty document", "POST", operator.PlanPath, strings.Replace(document, "10.0.0.1:80", "here", 1), 400, operator.KindInvalid, "services[0].upstreams[0].address"},
		{"intent without a document", "POST", operator.IntentPath, `{"drain": ["s1"]}`, 400, operator.KindInvalid, "plan a whole document first"},
		{"no plan ID", "POST", operator.ConfirmPath, `{"plan": "../head"}`, 400, operator.KindMalformed, "copy the 16 digits"},
		{"unknown plan", "POST", operator.ConfirmPath, `{"plan": "0123456789abcdef"}`, 404, operator.KindUnknownPlan, "plan again"},
		{"no revision", "GET", operator.DiffPath + "?from=-1", "", 400, operator.KindMalformed, "as history shows it"},
		{"revision not kept", "GET", operator.DiffPath + "?from=9", "", 404, operator.KindNotKept, "not kept"},
		{"no status", "GET", operator.StatusPath, "", 404, operator.KindNotFound, "another agent"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			name := "operator.refused." + string(tt.kind)
			before := gometrics.GetOrRegisterCounter(name, metrics).Count()
			var f operator.Fault
			status := ask(t, h, tt.method, tt.uri, tt.body, &f)
			if status != tt.status || f.Kind != tt.kind || !strings.Contains(strings.Join(f.Faults, "; "), tt.says) {
				t.Errorf("status %d, fault %+v", status, f)
			}
			if n := gometrics.GetOrRegisterCounter(name, metrics).Count() - before; n != 1 {
				t.Errorf("%s rose by %d", name, n)
			}
		})
	}
}

// A confirm hands its head to the agent; a store that is out is told as such.
func TestConfirmHandsOverTheHead(t *testing.T) {
	var held config.Keeper
	down := false
	store := storetest.NewStore(time.Now, nil).Client("test", func(context.Context, storetest.Call) storetest.Fault {
		if down {
			return storetest.Down
		}
		return storetest.None
	})
	h := operator.Handler(config.NewCommitter(store), operator.WithAccepted(func(head config.Head) {
		if _, err := held.Offer(head); err != nil {
			t.Error(err)
		}
	}))
	var p config.Plan
	if status := ask(t, h, "POST", operator.PlanPath, document, &p); status != 200 || p.Document != nil {
		t.Fatalf("status %d, plan %+v", status, p)
	}
	confirm := `{"plan": "` + p.ID + `"}`
	var f operator.Fault
	down = true
	if status := ask(t, h, "POST", operator.ConfirmPath, confirm, &f); status != 503 || f.Kind != operator.KindUnavailable {
		t.Fatalf("status %d, fault %+v", status, f)
	}
	down = false
	var a config.Accepted
	if status := ask(t, h, "POST", operator.ConfirmPath, confirm, &a); status != 200 || a.Revision != 1 || held.Version().Revision != 1 {
		t.Fatalf("status %d, accepted %+v, held %+v", status, a, held.Version())
	}
}

// Requests above the bound are refused at once.
func TestBoundedRequests(t *testing.T) {
	entered, leave := make(chan struct{}), make(chan struct{})
	store := storetest.NewStore(time.Now, nil).Client("test", func(context.Context, storetest.Call) storetest.Fault {
		entered <- struct{}{}
		<-leave
		return storetest.None
	})
	h := operator.Handler(config.NewCommitter(store))
	done := make(chan struct{})
	for range operator.MaxConcurrent {
		go func() {
			var ctx fasthttp.RequestCtx
			ctx.Request.SetRequestURI(operator.ShowPath)
			h(&ctx)
			done <- struct{}{}
		}()
		<-entered
	}
	var f operator.Fault
	if status := ask(t, h, "GET", operator.ShowPath, "", &f); status != 429 || f.Kind != operator.KindBusy {
		t.Errorf("status %d, fault %+v", status, f)
	}
	close(leave)
	for range operator.MaxConcurrent {
		<-done
	}
}
