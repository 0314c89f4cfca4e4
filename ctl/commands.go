package ctl

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/url"
	"os"
	"strconv"

	"github.com/catkinrouter/catkinrouter/config"
	"github.com/catkinrouter/catkinrouter/operator"
	"github.com/catkinrouter/catkinrouter/settings"
)

func (c *command) plan(args []string) error {
	fs := c.flags("plan")
	file := fs.String("f", "", "configuration document, JSON with comments")
	rest, err := c.parse(fs, args)
	switch {
	case err != nil:
		return err
	case *file == "" && len(rest) == 0:
		return usageError("plan needs a document: name a file with -f")
	case len(rest) > 0:
		return usageError(fmt.Sprintf("plan takes no argument %q: name the file with -f", rest[0]))
	}
	doc, err := readDocument(*file)
	if err != nil {
		return err
	}
	return c.requestPlan(operator.PlanPath, doc)
}

// readDocument reads and checks a configuration document. Each error names its
// line.
func readDocument(file string) (*config.Document, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, usageError(fmt.Sprintf("%v: name a readable document with -f", err))
	}
	doc := &config.Document{}
	if err := settings.Decode(file, b, doc); err != nil {
		return nil, invalidDocument(err)
	}
	if err := settings.Locate(file, b, doc.Check()); err != nil {
		return nil, invalidDocument(err)
	}
	return doc, nil
}

// invalidDocument returns a refusal with KindInvalid for errors found without
// the agent.
func invalidDocument(err error) error {
	f := operator.Fault{Kind: operator.KindInvalid, Checks: config.CheckErrors(err)}
	for _, e := range settings.Errors(err) {
		f.Faults = append(f.Faults, e.Error())
	}
	return &operator.Refusal{Fault: f}
}

// requestPlan requests a plan from the agent and prints it.
func (c *command) requestPlan(path string, in any) error {
	var p config.Plan
	if err := c.call(path, in, &p); err != nil {
		return err
	}
	return c.print(p, func() { c.printPlan(&p) })
}

// intent returns the command of that name, which plans a change of the upstreams
// in its arguments.
func (c *command) intent(name string) func([]string) error {
	return func(args []string) error {
		ids, err := c.parse(c.flags(name), args)
		if err != nil {
			return err
		}
		if len(ids) == 0 {
			return usageError(name + " needs the ID of an upstream: show lists them")
		}
		var in config.Intent
		switch name {
		case "drain":
			in.Drain = ids
		case "undrain":
			in.Undrain = ids
		case "remove":
			in.Remove = ids
		}
		return c.requestPlan(operator.IntentPath, in)
	}
}

func (c *command) add(args []string) error {
	fs := c.flags("add")
	var a config.AddUpstream
	fs.StringVar(&a.Service, "service", "", "service to add the upstream to")
	fs.StringVar(&a.Upstream.ID, "id", "", "ID of the upstream")
	fs.StringVar(&a.Upstream.Address, "address", "", "IP address and port")
	fs.StringVar(&a.Upstream.DataCentre, "data-centre", "", "data centre of the upstream")
	fs.IntVar(&a.Upstream.Slots, "slots", 0, "requests that the upstream processes at once")
	fs.IntVar(&a.Upstream.Connections, "connections", 250, "connections that the upstream accepts")
	rest, err := c.parse(fs, args)
	switch {
	case err != nil:
		return err
	case len(rest) > 0:
		return usageError(fmt.Sprintf("add takes no argument %q: use its flags, add -h lists them", rest[0]))
	case a.Service == "" || a.Upstream.ID == "" || a.Upstream.Address == "":
		return usageError("add needs -service, -id and -address: add -h lists the flags")
	}
	return c.requestPlan(operator.IntentPath, config.Intent{Add: []config.AddUpstream{a}})
}

func (c *command) confirm(args []string) error {
	ids, err := c.parse(c.flags("confirm"), args)
	if err != nil {
		return err
	}
	if len(ids) != 1 {
		return usageError("confirm takes one plan: copy its ID from the output of plan")
	}
	var a config.Accepted
	if err := c.call(operator.ConfirmPath, operator.ConfirmRequest{Plan: ids[0]}, &a); err != nil {
		return confirmError(err, ids[0])
	}
	return c.print(a, func() { c.printAccepted(&a) })
}

func (c *command) show(args []string) error {
	fs := c.flags("show")
	documentOnly := fs.Bool("document", false, "print the document itself, secrets included")
	if err := c.parseNoArgs(fs, args); err != nil {
		return err
	}
	var h config.Head
	if err := c.call(operator.ShowPath, nil, &h); err != nil {
		return err
	}
	if h.Revision == 0 {
		return c.print(h, func() { fmt.Fprintln(c.stdout, "no configuration is in force: plan one with plan -f") })
	}
	doc, err := h.Decode()
	if err != nil {
		return err
	}
	if *documentOnly {
		b, err := json.MarshalIndent(doc, "", "  ")
		fmt.Fprintln(c.stdout, string(b))
		return err
	}
	return c.print(h, func() { c.printHead(&h, doc) })
}

// parseNoArgs parses the flags of a command that accepts no arguments.
func (c *command) parseNoArgs(fs *flag.FlagSet, args []string) error {
	rest, err := c.parse(fs, args)
	if err == nil && len(rest) > 0 {
		err = usageError(fmt.Sprintf("%s takes no argument %q: leave it out", fs.Name(), rest[0]))
	}
	return err
}

func (c *command) history(args []string) error {
	if err := c.parseNoArgs(c.flags("history"), args); err != nil {
		return err
	}
	var h operator.History
	if err := c.call(operator.HistoryPath, nil, &h); err != nil {
		return err
	}
	return c.print(h, func() { c.printCommits(h.Commits) })
}

func (c *command) diff(args []string) error {
	revs, err := c.parse(c.flags("diff"), args)
	if err != nil {
		return err
	}
	if len(revs) < 1 || len(revs) > 2 {
		return usageError("diff takes one or two revisions: history lists them")
	}
	q := url.Values{}
	for i, name := range []string{"from", "to"}[:len(revs)] {
		if _, err := strconv.ParseUint(revs[i], 10, 64); err != nil {
			return usageError(fmt.Sprintf("%q is not a revision: give a whole number as history shows it", revs[i]))
		}
		q.Set(name, revs[i])
	}
	var d config.Comparison
	if err := c.call(operator.DiffPath+"?"+q.Encode(), nil, &d); err != nil {
		return err
	}
	return c.print(d, func() { c.printComparison(&d) })
}

func (c *command) status(args []string) error {
	fs := c.flags("status")
	address := storeFlag(fs)
	if err := c.parseNoArgs(fs, args); err != nil {
		return err
	}
	if *address != "" {
		return c.storeStatus(*address)
	}
	var s operator.Status
	if err := c.call(operator.StatusPath, nil, &s); err != nil {
		return err
	}
	return c.print(s, func() { c.printStatus(&s) })
}
