// Command catkin-agent is the control-plane process that runs beside an entry.
package main

import (
	"os"

	"github.com/go-kit/log/level"

	"github.com/catkinrouter/catkinrouter/agent"
	"github.com/catkinrouter/catkinrouter/internal/daemon"
	"github.com/catkinrouter/catkinrouter/internal/logs"
	"github.com/catkinrouter/catkinrouter/platform"
)

const name = "catkin-agent"

func main() { os.Exit(run()) }

func run() int {
	f, code, ok := daemon.Parse(name, "supplies an entry with its configuration and member list, and serves the operators' API", os.Args[1:], os.Stderr, nil)
	if !ok {
		return code
	}
	var s agent.Settings
	if code, ok = f.Load(name, &s, os.Stderr); !ok {
		return code
	}
	l := logs.WithPart(daemon.Logger(s.LogLevel), "agent")
	ctx, stop := daemon.Context()
	defer stop()
	if err := agent.NewDaemon(s, platform.NewStore(s.StoreAddress), l).Run(ctx); err != nil {
		level.Error(l).Log("msg", "stopped with an error", "err", err)
		return daemon.ExitError
	}
	level.Info(l).Log("msg", "stopped")
	return daemon.ExitOK
}
