// Command catkinctl drives the operators' intent API of an agent.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/internal/daemon"
	"github.com/catkinrouter/catkinrouter/operator"
	"github.com/catkinrouter/catkinrouter/settings"
)

const usage = `catkinctl states intents to catkinrouter.

usage: catkinctl [-agent ADDRESS] COMMAND

commands:
  plan -f FILE   show what a configuration document would change
  confirm PLAN   put a plan in force
  show           print the configuration in force
`

const callTimeout = 10 * time.Second

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, stdout, stderr io.Writer) int {
	fs := flag.NewFlagSet("catkinctl", flag.ContinueOnError)
	fs.SetOutput(stderr)
	agent := fs.String("agent", "127.0.0.1:7000", "operator address of an agent, IP and port")
	fs.Usage = func() {
		fmt.Fprint(stderr, usage, "\nflags:\n")
		fs.PrintDefaults()
	}
	switch err := fs.Parse(args); {
	case err == flag.ErrHelp:
		return daemon.ExitOK
	case err != nil:
		return daemon.ExitUsage
	}
	c := client{agent: *agent, stdout: stdout, stderr: stderr}
	switch fs.Arg(0) {
	case "plan":
		return c.plan(fs.Args()[1:])
	case "confirm":
		return c.confirm(fs.Args()[1:])
	case "show":
		return c.post(operator.ShowPath, struct{}{}, &config.Head{})
	}
	fs.Usage()
	return daemon.ExitUsage
}

type client struct {
	agent          string
	stdout, stderr io.Writer
}

func (c client) plan(args []string) int {
	fs := flag.NewFlagSet("plan", flag.ContinueOnError)
	fs.SetOutput(c.stderr)
	file := fs.String("f", "", "configuration document, JSON with comments")
	if err := fs.Parse(args); err != nil {
		return daemon.ExitUsage
	}
	b, err := os.ReadFile(*file)
	if err != nil {
		fmt.Fprintln(c.stderr, "catkinctl:", err, "- name a readable document with -f")
		return daemon.ExitUsage
	}
	var doc config.Document
	if err := settings.Decode(*file, b, &doc); err != nil {
		fmt.Fprintln(c.stderr, "catkinctl:", err)
		return daemon.ExitUsage
	}
	return c.post(operator.PlanPath, doc, &config.Plan{})
}

func (c client) confirm(args []string) int {
	if len(args) != 1 {
		fmt.Fprintln(c.stderr, "catkinctl: confirm takes one plan: copy its id from the output of plan")
		return daemon.ExitUsage
	}
	return c.post(operator.ConfirmPath, operator.ConfirmRequest{Plan: args[0]}, &config.Head{})
}

func (c client) post(path string, in, out any) int {
	b, err := json.Marshal(in)
	if err != nil {
		fmt.Fprintln(c.stderr, "catkinctl:", err)
		return daemon.ExitFault
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.agent + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(b)
	if err := fasthttp.DoTimeout(req, resp, callTimeout); err != nil {
		fmt.Fprintf(c.stderr, "catkinctl: agent %s does not answer: %v: name a live agent with -agent\n", c.agent, err)
		return daemon.ExitFault
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		fmt.Fprintf(c.stderr, "catkinctl: refused: %s\n", resp.Body())
		return daemon.ExitFault
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		fmt.Fprintln(c.stderr, "catkinctl: unreadable answer:", err)
		return daemon.ExitFault
	}
	return c.print(out)
}

func (c client) print(v any) int {
	switch v := v.(type) {
	case *config.Plan:
		fmt.Fprintf(c.stdout, "plan %s on revision %d\n", v.ID, v.Base)
	case *config.Head:
		fmt.Fprintf(c.stdout, "revision %d by plan %s, digest %s\n", v.Revision, v.PlanID, v.Digest)
	}
	return daemon.ExitOK
}
