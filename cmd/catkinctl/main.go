// Command catkinctl drives the operators' intent API of an agent.
package main

import (
	"os"

	"github.com/catkinrouter/catkinrouter/ctl"
)

func main() { os.Exit(ctl.Run(os.Args[1:], os.Stdout, os.Stderr)) }
