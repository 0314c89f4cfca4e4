// Package ctl is the operators' command: it states intents to an agent, shows
// the plans, confirms them and shows what is in force.
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
	ExitFault       = 1 // an unreadable answer, or a fault of the agent
	ExitUsage       = 2 // a wrong command, argument or file
	ExitRefused     = 3 // stale, unknown or too old a plan or revision
	ExitInvalid     = 4 // a document or intent with faults
	ExitUnavailable = 5 // no answer, or the store is out: nothing put in force by this call
	ExitIndefinite  = 6 // a confirm may be in force: ask again with the same plan
)

// callTimeout bounds a call of the agent; it is above the agent's own bound.
const callTimeout = 10 * time.Second

const usage = `catkinctl states intents to catkinrouter. Nothing takes effect before confirm.

usage: catkinctl [-agent ADDRESS] [-json] COMMAND

commands:
  plan -f FILE          show what a configuration document would change
  drain UPSTREAM...     plan that upstreams take no new work
  undrain UPSTREAM...   plan that upstreams take work again
  remove UPSTREAM...    plan to remove upstreams
  add -service NAME -id ID -address IP:PORT -data-centre NAME -slots N -connections N
                        plan to add an upstream
  confirm PLAN          put a plan in force; again gives the same answer
  show [-document]      show the configuration in force; with -document the
                        document itself, secrets included, as plan -f takes it
  history               show the newest commits
  diff FROM [TO]        show what changed between two revisions
  status                show instances, upstreams, shares and counters
  explain REQUEST [FILE...]
                        tell one request's story from instances' logs, or from
                        standard input

exit codes: 0 done, 1 fault, 2 wrong usage, 3 refused (stale or unknown plan),
  4 faults in the document, 5 unavailable, nothing put in force by this call,
  6 indefinite, ask again with the same plan
`

// command is one run of the program.
type command struct {
	agent          string
	json           bool
	stdout, stderr io.Writer
}

// errUsage says that the message is on the error output already.
var errUsage = errors.New("usage")

// usageError is a wrong argument; its message names the remedy.
type usageError string

func (e usageError) Error() string { return string(e) }

// Run runs the program with its arguments and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	c := &command{stdout: stdout, stderr: stderr}
	fs := c.flags("catkinctl")
	fs.StringVar(&c.agent, "agent", "127.0.0.1:7000", "operator address of an agent, IP and port")
	fs.BoolVar(&c.json, "json", false, "print answers and refusals as JSON")
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
	return c.exit(c.run(fs.Arg(0), fs.Args()))
}

func (c *command) flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(c.stderr)
	return fs
}

func (c *command) run(name string, args []string) error {
	commands := map[string]func([]string) error{
		"plan": c.plan, "add": c.add, "confirm": c.confirm, "show": c.show,
		"history": c.history, "diff": c.diff, "status": c.status, "explain": c.explain,
		"drain": c.intent("drain"), "undrain": c.intent("undrain"), "remove": c.intent("remove"),
	}
	f := commands[name]
	switch {
	case name == "":
		return usageError("no command: use one of plan, drain, undrain, remove, add, confirm, show, history, diff, status, explain; -h shows more")
	case f == nil:
		return usageError(fmt.Sprintf("unknown command %q: use one of plan, drain, undrain, remove, add, confirm, show, history, diff, status, explain", name))
	}
	return f(args[1:])
}

// parse reads a command's flags; flags may follow its arguments.
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
