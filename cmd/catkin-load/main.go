// Command catkin-load makes load against a site, drives faults of the
// stand-ins, and compares variants.
package main

import (
	"os"

	"github.com/catkinrouter/catkinrouter/load"
)

func main() { os.Exit(load.Main(os.Args[1:], os.Stdout, os.Stderr)) }
