// Package ctl implements catkinctl, the command-line client for operators: it
// submits intents to an agent, prints the plans, confirms them and prints the
// configuration in force.
package ctl

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/catkinrouter/catkinrouter/internal/version"
)

// Exit codes.
const (
	ExitOK          = 0
	ExitFault       = 1 // unreadable response, or an error inside the agent
	ExitUsage       = 2 // wrong command, argument or file
	ExitRefused     = 3 // plan or revision is stale, unknown or too old
	ExitInvalid     = 4 // document or intent is invalid
	ExitUnavailable = 5 // agent or store unavailable, or agent busy; this call put nothing in force
	ExitIndefinite  = 6 // the plan may be in force; confirm it again
)

// callTimeout is the timeout of a call to the agent. It is longer than
// operator.StoreTimeout, so that the agent's own error arrives first.
const callTimeout = 10 * time.Second

const usage = `catkinctl submits intents to catkinrouter. Nothing takes effect before confirm.

usage: catkinctl [-agent ADDRESS] [-json] COMMAND

commands:
  plan -f FILE          show what a configuration document would change
  drain UPSTREAM...     plan to send upstreams no new requests
  undrain UPSTREAM...   plan to send upstreams requests again
  remove UPSTREAM...    plan to remove upstreams
  add -service NAME -id ID -address IP:PORT -data-centre NAME -slots N -connections N
                        plan to add an upstream
  confirm PLAN          put a plan in force; confirming it again is safe and
                        gives the same answer
  show [-document]      show the configuration in force; with -document the
                        document itself, secrets included, in the form that
                        plan -f reads
  history               show the newest commits
  diff FROM [TO]        show what changed between two revisions
  status [-store IP:PORT]
                        show instances, upstreams, shares and counters; on a
                        platform, with -store: the configuration and what of it
                        the instances can't read as written
  explain REQUEST [FILE...]
                        print the log lines of one request in order of time,
                        from instances' logs or standard input
  check [-against FILE | -store IP:PORT] [-upstreams FILE] [-instances N]
        [-format text|json] FILE
                        on a platform: check a configuration document before it
                        is submitted, and list its differences from the version
                        in force; exit codes 0 clean, 1 warnings, 2 errors,
                        3 the version in force can't be read
  quarantine -store IP:PORT [lift CONTENT]
                        on a platform: print the requests that are kept from the
                        upstreams since these crashed under them, or lift that

exit codes: 0 done, 1 error, 2 wrong usage, 3 refused (stale or unknown plan),
  4 invalid document, 5 unavailable, nothing put in force by this call,
  6 indefinite, confirm the same plan again
`

// command is one run of the program.
type command struct {
	agent          string
	json           bool
	stdout, stderr io.Writer
}

// errUsage reports wrong usage that the flag package has printed already.
var errUsage = errors.New("usage")

// usageError reports a wrong command or argument; its message names the remedy.
type usageError string

func (e usageError) Error() string { return string(e) }

// Run runs catkinctl with args, without the program name, and returns the exit
// code.
func Run(args []string, stdout, stderr io.Writer) int {
	c := &command{stdout: stdout, stderr: stderr}
	fs := c.flags("catkinctl")
	fs.StringVar(&c.agent, "agent", "127.0.0.1:7000", "operator address of an agent, IP and port")
	fs.BoolVar(&c.json, "json", false, "print responses and refusals as JSON")
	showVersion := fs.Bool("version", false, "print the version and exit")
	fs.Usage = func() {
		fmt.Fprint(stderr, usage, "\nflags:\n")
		fs.PrintDefaults()
	}
	switch err := fs.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return ExitOK
	case err != nil:
		return ExitUsage
	case *showVersion:
		fmt.Fprintln(stdout, "catkinctl", version.Version)
		return ExitOK
	}
	return c.report(c.run(fs.Arg(0), fs.Args()))
}

func (c *command) flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(c.stderr)
	return fs
}

func (c *command) run(name string, args []string) error {
	commands := map[string]func([]string) error{
		"plan": c.plan, "add": c.add, "confirm": c.confirm, "show": c.show,
		"history": c.history, "diff": c.diff, "status": c.status, "explain": c.explain, "check": c.check, "quarantine": c.quarantine,
		"drain": c.intent("drain"), "undrain": c.intent("undrain"), "remove": c.intent("remove"),
	}
	f := commands[name]
	switch {
	case name == "":
		return usageError("no command: use one of plan, drain, undrain, remove, add, confirm, show, history, diff, status, explain, check, quarantine; -h shows more")
	case f == nil:
		return usageError(fmt.Sprintf("unknown command %q: use one of plan, drain, undrain, remove, add, confirm, show, history, diff, status, explain, check, quarantine", name))
	}
	return f(args[1:])
}

// parse parses a command's flags and returns its arguments. Flags may follow
// arguments.
func (c *command) parse(fs *flag.FlagSet, args []string) ([]string, error) {
	var rest []string
	for {
		err := fs.Parse(args)
		switch {
		case errors.Is(err, flag.ErrHelp):
			return nil, err
		case err != nil:
			return nil, errUsage
		case fs.NArg() == 0:
			return rest, nil
		}
		rest = append(rest, fs.Arg(0))
		args = fs.Args()[1:]
	}
}
