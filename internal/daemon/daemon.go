// Package daemon holds what the binaries' main functions share: the common
// flags, settings, logs and signals.
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

// Exit codes of every binary.
const (
	ExitOK    = 0
	ExitFault = 1
	ExitUsage = 2
)

// Flags are the flags that every daemon has.
type Flags struct {
	Settings string
	Check    bool
	Version  bool
}

// Parse reads the command line of the daemon called name. Add registers
// further flags; it may be nil. It returns false where the process is to exit
// with the code given.
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

// Load reads and checks the settings that f names into v. It returns false
// where the process is to exit with the code given.
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

// Logger returns the daemon's logger at the level given, on standard error.
func Logger(min string) log.Logger {
	l, err := logs.New(os.Stderr, min)
	if err != nil {
		l, _ = logs.New(os.Stderr, "info")
	}
	return l
}

// Context returns a context that ends at SIGTERM or an interrupt.
func Context() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}
