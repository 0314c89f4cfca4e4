// Command catkin-node runs one instance of catkinrouter on a platform: it serves
// callers, lookups and the platform's readiness checks.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/catkinrouter/catkinrouter/admission"
	"github.com/catkinrouter/catkinrouter/internal/daemon"
	"github.com/catkinrouter/catkinrouter/internal/hangup"
	"github.com/catkinrouter/catkinrouter/internal/logs"
	"github.com/catkinrouter/catkinrouter/internal/version"
	"github.com/catkinrouter/catkinrouter/node"
	"github.com/catkinrouter/catkinrouter/platform"
)

const (
	name    = "catkin-node"
	maxPort = 1<<16 - 1
)

func main() {
	ctx, stop := daemon.Context()
	defer stop()
	os.Exit(run(ctx, os.Args[1:], hangup.Signals, os.Stdout, os.Stderr))
}

func run(ctx context.Context, args []string, reload <-chan os.Signal, stdout, stderr io.Writer) int {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(stderr)
	check := fs.Bool("check", false, "check the settings and exit")
	showVersion := fs.Bool("version", false, "print the version and exit")
	minLevel := fs.String("log", "info", "minimum log level: debug, info, warn or error")
	metricsPort := fs.Int("metrics-port", 0, "port of the metrics endpoint on the instance's IP address; 0 selects the second internal port")
	orderName := fs.String("queue-order", string(admission.ByPriority), "order in which calls wait for a slot: priority, least-cost, or configuration for least-cost where requests of a service differ in priority")
	fs.Usage = func() {
		fmt.Fprintf(stderr, "%s: runs one instance on a platform; the environment variable %s holds the path of the platform's settings file\n\n", name, platform.SettingsVariable)
		fs.PrintDefaults()
	}
	switch err := fs.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		return daemon.ExitOK
	case err != nil:
		return daemon.ExitUsage
	case *showVersion:
		fmt.Fprintln(stdout, name, version.Version)
		return daemon.ExitOK
	}
	if fs.NArg() > 0 || *metricsPort < 0 || *metricsPort > maxPort {
		fmt.Fprintf(stderr, "%s: unexpected argument or port: see -h\n", name)
		return daemon.ExitUsage
	}
	order, err := admission.ParseQueueOrder(*orderName)
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return daemon.ExitUsage
	}
	settings, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return daemon.ExitUsage
	}
	settings.QueueOrder = order
	if *metricsPort > 0 {
		settings.MetricsAddress = settings.WithPort(*metricsPort)
	}
	if *check {
		fmt.Fprintf(stdout, "%s: the settings are valid\n", name)
		return daemon.ExitOK
	}
	return serve(ctx, settings, *minLevel, reload, stdout, stderr)
}

// memoryShare is the fraction of the instance's memory limit that is set as the
// Go runtime's memory limit; the rest is for memory that the runtime does not
// count.
const memoryShare = 0.8

func serve(ctx context.Context, settings node.Settings, minLevel string, reload <-chan os.Signal, stdout, stderr io.Writer) int {
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	}
	out := logs.NewAsyncWriter(stdout)
	defer out.Close()
	l, err := logs.New(out, minLevel)
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return daemon.ExitUsage
	}
	lns, err := node.Listen(&settings)
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return daemon.ExitError
	}
	n := node.New(settings, node.Adapter{
		Keys: platform.Keys(), Store: platform.NewStore(settings.StoreAddress), Protocol: platform.Protocol(),
		DecodeDocument: platform.DecodeDocument, DecodeUpstream: platform.DecodeUpstream, UpstreamID: platform.UpstreamID,
	}, l)
	go reloadOnSignal(n, logs.WithPart(l, "node"), reload)
	if err := n.Run(ctx, lns); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return daemon.ExitError
	}
	return daemon.ExitOK
}

// reloadOnSignal reads the settings file again at each SIGHUP and applies it to
// n. A file that can't be read or is invalid changes nothing.
func reloadOnSignal(n *node.Node, l log.Logger, signals <-chan os.Signal) {
	for range signals {
		settings, err := platform.LoadSettings()
		if err != nil {
			level.Warn(l).Log("msg", "reload", "outcome", "settings kept", "err", err)
			continue
		}
		ignored := n.Reload(settings)
		level.Info(l).Log("msg", "reload", "outcome", "settings taken", "until_restart", strings.Join(ignored, ","))
	}
}
