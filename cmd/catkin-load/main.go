// Command catkin-load makes load against entries and prints what came of it.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/catkinrouter/catkinrouter/internal/daemon"
	"github.com/catkinrouter/catkinrouter/load"
	"github.com/catkinrouter/catkinrouter/settings"
)

func main() { os.Exit(run()) }

func run() int {
	file := flag.String("scenario", "", "scenario file, JSON with comments")
	flag.Parse()
	var s load.Scenario
	if err := settings.Load(*file, &s); err != nil {
		fmt.Fprintln(os.Stderr, "catkin-load:", err)
		return daemon.ExitUsage
	}
	rows := load.Run(&s)
	load.Table(os.Stdout, rows)
	for _, r := range rows {
		if r.Answered == 0 {
			fmt.Fprintf(os.Stderr, "catkin-load: no call of %s was answered\n", r.Service)
			return daemon.ExitFault
		}
	}
	return daemon.ExitOK
}
