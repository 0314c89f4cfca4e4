package load

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"github.com/catkinrouter/catkinrouter/headers"
	"github.com/catkinrouter/catkinrouter/internal/daemon"
	"github.com/catkinrouter/catkinrouter/internal/version"
	"github.com/catkinrouter/catkinrouter/settings"
)

const usage = `catkin-load generates load against a site and prints the results.

usage: catkin-load COMMAND -scenario FILE [-json FILE]

commands:
  run       run the scenario's load once
  compare   run each of the scenario's variants in alternating turns
  ready     check that an entry has a configuration: ready -entry ADDRESS
  version   print the version

Exit codes: 0 done, 1 a call violated a guarantee or the site failed, 2 usage.
`

// Main runs the command line of catkin-load and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		fmt.Fprint(stderr, usage)
		return daemon.ExitUsage
	}
	switch args[0] {
	case "run", "compare":
		return command(args[0], args[1:], stdout, stderr)
	case "ready":
		return ready(args[1:], stderr)
	case "version", "-version":
		fmt.Fprintln(stdout, "catkin-load", version.Version)
		return daemon.ExitOK
	case "-h", "-help", "--help", "help":
		fmt.Fprint(stdout, usage)
		return daemon.ExitOK
	}
	fmt.Fprintf(stderr, "catkin-load: unknown command %q: use run or compare\n", args[0])
	return daemon.ExitUsage
}

// command executes run or compare.
func command(name string, args []string, stdout, stderr io.Writer) int {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(stderr)
	file := fs.String("scenario", "", "scenario file, JSON with comments")
	out := fs.String("json", "", "file to write the result to, as JSON")
	check := fs.Bool("check", false, "check the scenario and exit")
	switch err := fs.Parse(args); {
	case err == flag.ErrHelp:
		return daemon.ExitOK
	case err != nil:
		return daemon.ExitUsage
	case *file == "" || fs.NArg() > 0:
		fmt.Fprintf(stderr, "catkin-load: set the scenario with -scenario FILE, without further arguments\n")
		return daemon.ExitUsage
	}
	var s Scenario
	if err := settings.Load(*file, &s); err != nil {
		fmt.Fprintln(stderr, "catkin-load:", err)
		return daemon.ExitUsage
	}
	if *check {
		fmt.Fprintf(stdout, "catkin-load: %s is valid\n", *file)
		return daemon.ExitOK
	}
	r := NewRunner(&s)
	r.Progress = stderr
	violation, err := execute(r, name, *out, stdout)
	if err != nil {
		fmt.Fprintf(stderr, "catkin-load: %v%s\n", err, hint(err))
		return daemon.ExitError
	}
	if violation != "" {
		fmt.Fprintln(stderr, "catkin-load:", violation)
		return daemon.ExitError
	}
	return daemon.ExitOK
}

// hint returns the remedy of err, which its message does not include; empty for
// none.
func hint(err error) string {
	o, ok := oops.AsOops(err)
	if !ok || o.Hint() == "" {
		return ""
	}
	return ": " + o.Hint()
}

// ready returns ExitOK if the entry has a configuration in force.
func ready(args []string, stderr io.Writer) int {
	fs := flag.NewFlagSet("ready", flag.ContinueOnError)
	fs.SetOutput(stderr)
	entry := fs.String("entry", "", "address of an entry, IP and port")
	if err := fs.Parse(args); err != nil {
		return daemon.ExitUsage
	}
	code, body, err := control.GetTimeout(nil, "http://"+*entry+headers.LookupPath, lookupTimeout)
	switch {
	case err != nil:
		fmt.Fprintf(stderr, "catkin-load: entry %s: %v: check the address and that the entry runs\n", *entry, err)
		return daemon.ExitError
	case code == fasthttp.StatusServiceUnavailable:
		fmt.Fprintf(stderr, "catkin-load: entry %s is not ready: %s\n", *entry, body)
		return daemon.ExitError
	}
	return daemon.ExitOK
}

// execute runs the command and describes the guarantee that was violated; empty
// for none.
func execute(r *Runner, name, out string, stdout io.Writer) (violation string, err error) {
	if name == "compare" {
		c, err := r.Compare()
		if err != nil {
			return "", err
		}
		c.WriteTable(stdout)
		for i := range c.Turns {
			if f := c.Turns[i].Violation(); f != "" {
				violation = f
			}
		}
		return violation, writeJSON(out, c)
	}
	res, err := r.Run(Variant{})
	if err != nil {
		return "", err
	}
	res.WriteTable(stdout)
	violation = res.Violation()
	for _, row := range res.Rows {
		if row.Answered == 0 && row.Calls > 0 {
			violation = fmt.Sprintf("no call of %s was answered: see the reasons above", row.Name)
		}
	}
	return violation, writeJSON(out, res)
}

func writeJSON(path string, v any) error {
	if path == "" {
		return nil
	}
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(b, '\n'), 0o644)
}
