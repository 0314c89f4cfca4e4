// Package hangup catches SIGHUP from package initialisation on. The signal can
// arrive as soon as the process exists, and a SIGHUP before main registered a
// handler would terminate it. The package has few dependencies, so that it is
// initialised before most others.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals receives a value for each SIGHUP. Signals that arrive while one is
// pending are dropped.
var Signals = make(chan os.Signal, 1)

func init() { signal.Notify(Signals, syscall.SIGHUP) }
