// Package daemon contains code shared by the main functions of the daemons:
// exit codes, common flags, loading of settings, logging and signal handling.
package daemon

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"

	"github.com/catkinrouter/catkinrouter/internal/logs"
	"github.com/catkinrouter/catkinrouter/internal/version"
	"github.com/catkinrouter/catkinrouter/settings"
)

// Exit codes of all binaries.
const (
	ExitOK    = 0
	ExitError = 1
	ExitUsage = 2
)

// Flags are the command-line flags common to the daemons.
type Flags struct {
	Settings string
	Check    bool
	Version  bool
}

// Parse parses the command line of the daemon called name. If add is not nil,
// it is called to register further flags. If ok is false, the process must exit
// with code; usage, version or error text has then been written to stderr.
func Parse(name, about string, args []string, stderr io.Writer, add func(*flag.FlagSet)) (f Flags, code int, ok bool) {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.StringVar(&f.Settings, "settings", "", "path of the settings file, JSON with comments")
	fs.BoolVar(&f.Check, "check", false, "check the settings and exit")
	fs.BoolVar(&f.Version, "version", false, "print the version and exit")
	fs.Usage = func() {
		fmt.Fprintf(stderr, "%s: %s\n\nusage: %s -settings FILE\n\n", name, about, name)
		fs.PrintDefaults()
	}
	if add != nil {
		add(fs)
	}
	switch err := fs.Parse(args); {
	case err == flag.ErrHelp:
		return f, ExitOK, false
	case err != nil:
		return f, ExitUsage, false
	case f.Version:
		fmt.Fprintln(stderr, name, version.Version)
		return f, ExitOK, false
	case fs.NArg() > 0:
		fmt.Fprintf(stderr, "%s: unexpected argument %q: settings go into the file named by -settings\n", name, fs.Arg(0))
		return f, ExitUsage, false
	case f.Settings == "":
		fmt.Fprintf(stderr, "%s: no settings: name a file with -settings\n", name)
		return f, ExitUsage, false
	}
	return f, ExitOK, true
}

// Load reads the settings file named by f into v and validates it. If ok is
// false, the process must exit with code; the error, or with -check the result,
// has then been written to stderr.
func (f Flags) Load(name string, v settings.Checker, stderr io.Writer) (code int, ok bool) {
	if err := settings.Load(f.Settings, v); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return ExitUsage, false
	}
	if f.Check {
		fmt.Fprintf(stderr, "%s: %s is valid\n", name, f.Settings)
		return ExitOK, false
	}
	return ExitOK, true
}

// Logger returns a logger that writes lines of at least level min to standard
// error. An unknown level is treated as info.
func Logger(min string) log.Logger {
	l, err := logs.New(os.Stderr, min)
	if err != nil {
		l, _ = logs.New(os.Stderr, "info")
	}
	return l
}

// Context returns a context that is cancelled on SIGTERM or an interrupt.
func Context() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}
