package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// cases are the scripts, by name. Each returns how often the rule was broken.
var cases = map[string]func(r *record, trouble bool) (broken int, err error){
	"entries": playEntries,
	"stop":    playStop,
	"reload":  playReload,
	"keys":    playKeys,
}

// Exit codes of a script.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() { os.Exit(run()) }

// run plays the case named first, with its record in the folder named second.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		return exitNotRun
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	r := &record{file: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, with the disruption: %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](r, trouble)
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken > 0:
		r.add("the rule was broken: %d", broken)
		return exitBroken
	}
	r.add("the rule held")
	return exitHeld
}
