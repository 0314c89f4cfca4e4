// Package hangup takes SIGHUP from the program's initialisation on: the signal
// may come as soon as the process runs, and would end it before main began. It
// depends on little, so that it is initialised before most packages.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals gets a value for each SIGHUP; those that come while one waits are
// dropped.
var Signals = make(chan os.Signal, 1)

func init() { signal.Notify(Signals, syscall.SIGHUP) }
