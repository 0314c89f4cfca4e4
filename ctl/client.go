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

	"github.com/catkinrouter/catkinrouter/operator"
)

// lostError says that an agent gave no answer.
type lostError struct {
	agent string
	// sent is set where the agent may have got the request.
	sent bool
	err  error
}

func (e *lostError) Error() string {
	if e.sent {
		return fmt.Sprintf("agent %s gave no answer: ask again, or another agent with -agent: %v", e.agent, e.err)
	}
	return fmt.Sprintf("agent %s is not reached: name a live agent with -agent: %v", e.agent, e.err)
}

// confirmError turns an answer that was lost after the request was sent into
// an indefinite refusal.
func confirmError(err error, plan string) error {
	var lost *lostError
	if errors.As(err, &lost) && lost.sent {
		msg := fmt.Sprintf("indefinite: plan %s may be in force or not: ask again with the same plan, at any agent: %v", plan, err)
		return &operator.Refusal{Fault: operator.Fault{Kind: operator.KindIndefinite, Faults: []string{msg}}}
	}
	return err
}

// call posts in and reads the answer into out; a refusal is an
// *operator.Refusal.
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
	client := fasthttp.Client{MaxIdemponentCallAttempts: 1}
	defer client.CloseIdleConnections()
	if err := client.DoTimeout(req, resp, callTimeout); err != nil {
		var op *net.OpError
		unsent := errors.As(err, &op) && op.Op == "dial"
		return &lostError{agent: c.agent, sent: !unsent, err: err}
	}
	if resp.StatusCode() == fasthttp.StatusOK {
		return unreadable(json.Unmarshal(resp.Body(), out), resp)
	}
	r := &operator.Refusal{}
	if err := json.Unmarshal(resp.Body(), &r.Fault); err != nil || r.Fault.Kind == "" {
		return unreadable(fmt.Errorf("status %d without a kind", resp.StatusCode()), resp)
	}
	return r
}

func unreadable(err error, resp *fasthttp.Response) error {
	if err == nil {
		return nil
	}
	body := resp.Body()
	return fmt.Errorf("unreadable answer, check that -agent names an agent's operator address: %w: %.100q", err, body)
}

// exit prints err and returns the exit code.
func (c *command) exit(err error) int {
	var refused *operator.Refusal
	var wrong usageError
	var lost *lostError
	switch {
	case err == nil || errors.Is(err, flag.ErrHelp):
		return ExitOK
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.As(err, &wrong):
		fmt.Fprintln(c.stderr, "catkinctl:", err)
		return ExitUsage
	case errors.As(err, &refused):
		c.printRefusal(&refused.Fault)
		return exitOf(refused.Fault.Kind)
	case errors.As(err, &lost):
		c.printRefusal(&operator.Fault{Kind: operator.KindUnavailable, Faults: []string{err.Error()}})
		return ExitUnavailable
	}
	fmt.Fprintln(c.stderr, "catkinctl:", err)
	return ExitFault
}

func exitOf(k operator.Kind) int {
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
		c.printMeanwhile(f.Stale)
	}
}
