// Command catkin-standin simulates the platform and the upstreams of a site, with
// fault injection, for tests and demos.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/go-kit/log/level"

	"github.com/catkinrouter/catkinrouter/internal/daemon"
	"github.com/catkinrouter/catkinrouter/internal/logs"
	"github.com/catkinrouter/catkinrouter/standin"
)

const name = "catkin-standin"

func main() { os.Exit(run()) }

func run() int {
	var printDoc bool
	f, code, ok := daemon.Parse(name, "simulates the platform and the upstreams of a site", os.Args[1:], os.Stderr, func(fs *flag.FlagSet) {
		fs.BoolVar(&printDoc, "document", false, "print the configuration document for the site and exit")
	})
	if !ok {
		return code
	}
	var s standin.Settings
	if code, ok = f.Load(name, &s, os.Stderr); !ok {
		return code
	}
	if printDoc {
		return printDocument(&s)
	}
	l := logs.WithPart(daemon.Logger(s.LogLevel), "standin")
	site, err := standin.NewSite(&s)
	if err != nil {
		level.Error(l).Log("msg", "cannot listen, free the address or change the settings", "err", err)
		return daemon.ExitError
	}
	ctx, stop := daemon.Context()
	defer stop()
	level.Info(l).Log("msg", "serving", "site", s.Site, "platform", s.PlatformAddress)
	if err := site.Run(ctx); err != nil {
		level.Error(l).Log("msg", "stopped with an error", "err", err)
		return daemon.ExitError
	}
	return daemon.ExitOK
}

func printDocument(s *standin.Settings) int {
	b, err := json.MarshalIndent(s.Document(), "", "  ")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return daemon.ExitError
	}
	fmt.Println(string(b))
	return daemon.ExitOK
}
