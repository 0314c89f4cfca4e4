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

// controlTimeout limits one request to a stand-in, an agent or a metrics address.
const controlTimeout = 10 * time.Second

// post sends in as JSON and decodes the response into out unless out is nil.
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
	if err := control.DoTimeout(req, resp, controlTimeout); err != nil {
		return oops.In("load").Hint("check the address and that the process runs").Wrapf(err, "%s", url)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return oops.In("load").Hint("correct the scenario or the site").Errorf("%s: status %d: %s", url, resp.StatusCode(), resp.Body())
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(resp.Body(), out)
}

func fetchCounts(control string) ([]standin.UpstreamCounts, error) {
	var out []standin.UpstreamCounts
	err := post("http://"+control+standin.CountsPath, struct{}{}, &out)
	return out, err
}

func setUpstreamFaults(control, id string, f standin.UpstreamFaults) error {
	return post("http://"+control+standin.UpstreamFaultsPath+id, f, nil)
}

func setPlatformFaults(addr string, f standin.PlatformFaults) error {
	return post("http://"+addr+standin.FaultsPath, f, nil)
}

// applyVariant plans and confirms the rules of v for all services at the agent
// with the operator address agent.
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
		v.applyTo(&doc.Services[i].Rules)
	}
	var p config.Plan
	if err := post("http://"+agent+operator.PlanPath, doc, &p); err != nil {
		return err
	}
	return post("http://"+agent+operator.ConfirmPath, operator.ConfirmRequest{Plan: p.ID}, nil)
}

// applyTo sets the rules that v names; the others stay.
func (v Variant) applyTo(r *config.Rules) {
	r.Policy = defaultTo(v.Policy, r.Policy)
	if v.ProbeBudget != nil {
		r.ProbeBudget = *v.ProbeBudget
	}
	if v.HedgeBudget != nil {
		r.HedgeBudget = *v.HedgeBudget
	}
}

// changesRules reports whether v needs a change of the configuration before it
// runs.
func (v Variant) changesRules() bool {
	return v.Policy != "" || v.ProbeBudget != nil || v.HedgeBudget != nil
}
