// Command drive2 plays the scripted cases of the second independent review. Each case starts the
// daemon as its own processes, beside stand-ins of the platform, the runners and the callers on
// loopback.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// play plays a case. hasTrouble is false for the same case without its disruption. It returns whether
// the rule was broken.
type play func(r *record, folder string, hasTrouble bool) (isBroken bool, err error)

var cases = map[string]play{"crash": playCrash, "memory": playMemory}

func main() { os.Exit(run(os.Args[1:])) }

// run plays the case that the arguments name, with its folder.
func run(arguments []string) int {
	if len(arguments) != 2 || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drive2 CASE FOLDER")
		return exitFailed
	}
	folder := arguments[1]
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		return exitFailed
	}
	defer r.close()
	isBroken, err := cases[arguments[0]](r, folder, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		return exitFailed
	case isBroken:
		r.add("the rule was broken")
		return exitBroken
	}
	r.add("the rule held")
	return exitHeld
}
