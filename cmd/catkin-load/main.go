// Command catkin-load generates load against a site, injects faults into the
// stand-ins, and compares variants.
package main

import (
	"os"

	"github.com/catkinrouter/catkinrouter/load"
)

func main() { os.Exit(load.Main(os.Args[1:], os.Stdout, os.Stderr)) }
