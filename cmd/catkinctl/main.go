// Command catkinctl is the command-line client of an agent's intent API for
// operators.
package main

import (
	"os"

	"github.com/catkinrouter/catkinrouter/ctl"
)

func main() { os.Exit(ctl.Run(os.Args[1:], os.Stdout, os.Stderr)) }
