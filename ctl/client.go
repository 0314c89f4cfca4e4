package ctl

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/netip"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/internal/httpreply"
	"github.com/catkinrouter/catkinrouter/operator"
)

// noAnswerError reports that no response arrived from an agent.
type noAnswerError struct {
	agent string
	// sent is set if the agent may have received the request.
	sent bool
	err  error
}

func (e *noAnswerError) Error() string {
	if e.sent {
		return fmt.Sprintf("agent %s did not answer: retry, or name another agent with -agent: %v", e.agent, e.err)
	}
	return fmt.Sprintf("agent %s can't be reached: name a live agent with -agent: %v", e.agent, e.err)
}

// confirmError turns a noAnswerError of a confirm that was sent into a refusal
// with KindIndefinite, because the agent may have accepted the plan.
func confirmError(err error, plan string) error {
	var noAnswer *noAnswerError
	if errors.As(err, &noAnswer) && noAnswer.sent {
		msg := fmt.Sprintf("indefinite: plan %s may be in force or not: confirm the same plan again, at any agent: %v", plan, err)
		return &operator.Refusal{Fault: operator.Fault{Kind: operator.KindIndefinite, Faults: []string{msg}}}
	}
	return err
}

// maxAnswerBytes limits the body of an agent's answer.
const maxAnswerBytes = 8 << 20

// call sends in as a POST request and decodes the response into out. A refusal
// by the agent is returned as an *operator.Refusal, a missing response as a
// *noAnswerError.
func (c *command) call(path string, in, out any) error {
	if _, err := netip.ParseAddrPort(c.agent); err != nil {
		return usageError(fmt.Sprintf("-agent %q is not an IP address and port: write it like 127.0.0.1:7000", c.agent))
	}
	b, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.agent + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(b)
	client := fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxAnswerBytes,
		Dial:                      func(a string) (net.Conn, error) { return httpreply.Dial(a, callTimeout) },
	}
	defer client.CloseIdleConnections()
	if err := client.DoTimeout(req, resp, callTimeout); err != nil {
		var op *net.OpError
		dialFailed := errors.As(err, &op) && op.Op == "dial"
		return &noAnswerError{agent: c.agent, sent: !dialFailed, err: err}
	}
	if resp.StatusCode() == fasthttp.StatusOK {
		return responseError(json.Unmarshal(resp.Body(), out), resp)
	}
	r := &operator.Refusal{}
	if err := json.Unmarshal(resp.Body(), &r.Fault); err != nil || r.Fault.Kind == "" {
		return responseError(fmt.Errorf("status %d without a refusal kind", resp.StatusCode()), resp)
	}
	return r
}

// responseError adds the remedy and the start of the body to err; nil for nil.
func responseError(err error, resp *fasthttp.Response) error {
	if err == nil {
		return nil
	}
	body := resp.Body()
	return fmt.Errorf("unreadable response, check that -agent names an agent's operator address: %w: %.100q", err, body)
}

// report prints err, if any, and returns the exit code.
func (c *command) report(err error) int {
	var refused *operator.Refusal
	var badUsage usageError
	var noAnswer *noAnswerError
	var checked checkExit
	switch {
	case err == nil || errors.Is(err, flag.ErrHelp):
		return ExitOK
	case errors.As(err, &checked):
		return int(checked)
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.As(err, &badUsage):
		fmt.Fprintln(c.stderr, "catkinctl:", err)
		return ExitUsage
	case errors.As(err, &refused):
		c.printRefusal(&refused.Fault)
		return exitCode(refused.Fault.Kind)
	case errors.As(err, &noAnswer):
		c.printRefusal(&operator.Fault{Kind: operator.KindUnavailable, Faults: []string{err.Error()}})
		return ExitUnavailable
	}
	fmt.Fprintln(c.stderr, "catkinctl:", err)
	return ExitFault
}

func exitCode(k operator.Kind) int {
	switch k {
	case operator.KindInvalid, operator.KindMalformed, operator.KindTooLarge:
		return ExitInvalid
	case operator.KindStale, operator.KindUnknownPlan, operator.KindUnsettled, operator.KindNotKept:
		return ExitRefused
	case operator.KindUnavailable, operator.KindBusy:
		return ExitUnavailable
	case operator.KindIndefinite:
		return ExitIndefinite
	}
	return ExitFault
}

func (c *command) printRefusal(f *operator.Fault) {
	if c.json {
		b, err := json.MarshalIndent(f, "", "  ")
		if err == nil {
			fmt.Fprintln(c.stdout, string(b))
			return
		}
	}
	fmt.Fprintf(c.stderr, "catkinctl: %s: %s\n", f.Kind, strings.Join(f.Faults, "\n  "))
	if f.Stale != nil {
		c.printStale(f.Stale)
	}
}
