package load

import (
	"encoding/json"
	"time"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/operator"
	"github.com/catkinrouter/catkinrouter/standin"
)

// controlTimeout bounds a call to a stand-in or an agent.
const controlTimeout = 10 * time.Second

// post sends in as JSON and reads the answer into out unless that is nil.
func post(url string, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(b)
	if err := fasthttp.DoTimeout(req, resp, controlTimeout); err != nil {
		return oops.In("load").Hint("check the address and that it runs").Wrapf(err, "%s", url)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return oops.In("load").Hint("correct the scenario or the site").Errorf("%s: status %d: %s", url, resp.StatusCode(), resp.Body())
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(resp.Body(), out)
}

func counts(control string) ([]standin.UpstreamCounts, error) {
	var out []standin.UpstreamCounts
	err := post("http://"+control+standin.CountsPath, struct{}{}, &out)
	return out, err
}

func setUpstream(control, id string, f standin.UpstreamFaults) error {
	return post("http://"+control+standin.UpstreamFaultsPath+id, f, nil)
}

func setPlatform(addr string, f standin.PlatformFaults) error {
	return post("http://"+addr+standin.FaultsPath, f, nil)
}

// applyVariant puts the rules of v in force through an agent.
func applyVariant(agent string, v Variant) error {
	var h config.Head
	if err := post("http://"+agent+operator.ShowPath, struct{}{}, &h); err != nil {
		return err
	}
	var doc config.Document
	if err := json.Unmarshal(h.Document, &doc); err != nil {
		return err
	}
	for i := range doc.Services {
		v.change(&doc.Services[i].Rules)
	}
	var p config.Plan
	if err := post("http://"+agent+operator.PlanPath, doc, &p); err != nil {
		return err
	}
	return post("http://"+agent+operator.ConfirmPath, operator.ConfirmRequest{Plan: p.ID}, nil)
}

func (v Variant) change(r *config.Rules) {
	r.Policy = defaultTo(v.Policy, r.Policy)
	if v.ProbeBudget != nil {
		r.ProbeBudget = *v.ProbeBudget
	}
	if v.HedgeBudget != nil {
		r.HedgeBudget = *v.HedgeBudget
	}
}

// changesRules tells whether v must be confirmed before its turn.
func (v Variant) changesRules() bool {
	return v.Policy != "" || v.ProbeBudget != nil || v.HedgeBudget != nil
}
