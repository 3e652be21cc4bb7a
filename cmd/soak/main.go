// Command soak injects random faults into processes of the built daemon and checks
// the guarantees of the system. It exits with status 1 when a guarantee was violated
// and with status 2 when a run could not be completed.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cranberrywalk/cranberrywalk/platform/soak"
)

func main() {
	seed := flag.Uint64("seed", uint64(time.Now().UnixNano()), "first seed")
	seeds := flag.Int("seeds", 1, "number of seeds, one after the other")
	program := flag.String("program", "bin/cranberrywalk", "the built daemon")
	dir := flag.String("dir", os.TempDir(), "folder for settings and logs")
	faulty := flag.Duration("faulty", 20*time.Second, "how long faults come in a run")
	flag.Parse()
	os.Exit(runAll(*seed, *seeds, *program, *dir, *faulty))
}

func runAll(first uint64, seeds int, program, dir string, faultPeriod time.Duration) int {
	code := 0
	for i := range seeds {
		options := soak.DefaultOptions(first + uint64(i))
		options.Program, options.FaultPeriod = program, faultPeriod
		options.Dir = filepath.Join(dir, fmt.Sprintf("soak-%d", options.Seed))
		report, err := soak.Run(options)
		if err != nil {
			fmt.Fprintln(os.Stderr, "error:", err)
			return 2
		}
		fmt.Printf("seed %d: %d faults, replies by status %v, requests by ending %v, %d violations\n",
			report.Seed, len(report.Faults), report.Requests, report.Endings, len(report.Violations))
		if len(report.Violations) == 0 {
			continue
		}
		code = 1
		for _, fault := range report.Faults {
			fmt.Println("  ", fault)
		}
		for _, violation := range report.Violations {
			fmt.Println("  VIOLATION", violation)
		}
	}
	return code
}
