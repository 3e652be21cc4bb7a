// Command drive plays the scripted cases of the review: it starts processes of the daemon with
// stand-ins for the platform, the runners and the callers, and checks one rule in what those
// have seen.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
)

// The exit codes of the program.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenario plays a case. It returns whether the rule was broken.
type scenario func(r *rig, hasTrouble bool) (isBroken bool, err error)

var scenarios = map[string]scenario{
	"lateheartbeat": playLateHeartbeat,
	"latecrash":     playLateCrash,
	"restore":       playRestore,
	"memory":        playMemory,
}

func main() { os.Exit(run()) }

func run() int {
	var name, program, path string
	flag.StringVar(&name, "case", "", "name of the case")
	flag.StringVar(&program, "program", "target/cranberrywalk", "program of the daemon")
	flag.StringVar(&path, "record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play, found := scenarios[name]
	if !found {
		fmt.Fprintln(os.Stderr, "unknown case:", name)
		return exitFailed
	}
	r, err := newRig(program, path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitFailed
	}
	isBroken, err := play(r, os.Getenv("TROUBLE") != "0")
	return r.finish(isBroken, errors.Join(err, r.close()))
}
