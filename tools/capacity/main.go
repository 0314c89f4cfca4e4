// Command capacity fits lines to the results of benchmarks that ran at several
// sizes, and rewrites the tables of docs/CAPACITY.md.
//
//	go test -run '^$' -bench BenchmarkSize ./... | go run ./tools/capacity -page docs/CAPACITY.md
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
)

func main() { os.Exit(run(os.Args[1:], os.Stdin, os.Stderr)) }

const (
	exitFault = 1
	exitUsage = 2
)

func run(args []string, in io.Reader, stderr io.Writer) int {
	fs := flag.NewFlagSet("capacity", flag.ContinueOnError)
	fs.SetOutput(stderr)
	page := fs.String("page", "docs/CAPACITY.md", "page whose tables to rewrite")
	rates := fs.String("rates", "", "result of catkin-load compare at several rates, JSON")
	if err := fs.Parse(args); err != nil {
		return exitUsage
	}
	if err := rewrite(*page, *rates, in); err != nil {
		fmt.Fprintln(stderr, "capacity:", err)
		return exitFault
	}
	return 0
}

// rewrite replaces the tables of the page by those computed from the benchmark
// results in and, unless rates is empty, from the comparison in that file.
func rewrite(page, rates string, in io.Reader) error {
	series, err := readBenchmarks(in)
	if err != nil {
		return err
	}
	if rates != "" {
		s, err := readRates(rates)
		if err != nil {
			return err
		}
		series = append(series, s...)
	}
	text, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	out, err := replaceTables(string(text), series)
	if err != nil {
		return err
	}
	return os.WriteFile(page, []byte(out), 0o644)
}
