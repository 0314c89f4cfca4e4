// Command catkin-entry is the data-plane process: it accepts connections of
// callers, picks an upstream for each call, forwards the call and returns the
// response.
package main

import (
	"os"

	"github.com/go-kit/log/level"

	"github.com/catkinrouter/catkinrouter/internal/daemon"
	"github.com/catkinrouter/catkinrouter/internal/logs"
	"github.com/catkinrouter/catkinrouter/proxy"
)

const name = "catkin-entry"

func main() { os.Exit(run()) }

func run() int {
	f, code, ok := daemon.Parse(name, "accepts calls and forwards them to upstreams", os.Args[1:], os.Stderr, nil)
	if !ok {
		return code
	}
	var s proxy.Settings
	if code, ok = f.Load(name, &s, os.Stderr); !ok {
		return code
	}
	l := logs.WithPart(daemon.Logger(s.LogLevel), "entry")
	ctx, stop := daemon.Context()
	defer stop()
	if err := proxy.New(s, l).Run(ctx); err != nil {
		level.Error(l).Log("msg", "stopped with an error", "err", err)
		return daemon.ExitError
	}
	level.Info(l).Log("msg", "stopped")
	return daemon.ExitOK
}
