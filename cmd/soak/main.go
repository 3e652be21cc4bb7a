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

// run is what the flags ask for.
type run struct {
	seeds int
	dir   string
	// options are those of the first seed.
	options soak.Options
}

func main() {
	os.Exit(parseFlags().playAll())
}

func parseFlags() run {
	r := run{options: soak.DefaultOptions(0)}
	o := &r.options
	flag.Uint64Var(&o.Seed, "seed", uint64(time.Now().UnixNano()), "first seed")
	flag.IntVar(&r.seeds, "seeds", 1, "number of seeds, one after the other")
	flag.StringVar(&o.Program, "program", "bin/cranberrywalk", "the built daemon")
	flag.StringVar(&r.dir, "dir", os.TempDir(), "folder for settings and logs")
	flag.DurationVar(&o.FaultPeriod, "faulty", o.FaultPeriod, "how long faults come in a run")
	flag.BoolVar(&o.PlannedOnly, "planned", false, "planned work only: stops, reloads and configurations")
	flag.BoolVar(&o.CrashingSegment, "crashing", false, "callers whose prompts share a segment that crashes runners")
	flag.BoolVar(&o.Limits, "limits", false, "runners that name how many requests a second they take")
	flag.BoolVar(&o.Versions, "versions", false, "runners of several software versions, callers that resume streams, kills of all daemons")
	flag.BoolVar(&o.Repeats, "repeats", false, "runners that reject requests and repeat earlier responses, callers that try again")
	flag.BoolVar(&o.Moves, "moves", false, "runners that leave often and move their runs, streams in all framings")
	flag.BoolVar(&o.Rollouts, "rollouts", false, "good and bad versions that are rolled out, daemons that are killed and a store that is away")
	flag.IntVar(&o.Daemons, "daemons", o.Daemons, "number of daemons")
	flag.IntVar(&o.Runners, "runners", o.Runners, "number of runners")
	flag.IntVar(&o.CallersPerDaemon, "callers", o.CallersPerDaemon, "number of callers of each daemon")
	flag.Parse()
	return r
}

// playAll plays all seeds and returns the exit status.
func (r run) playAll() int {
	code := 0
	for i := range r.seeds {
		options := r.options
		options.Seed += uint64(i)
		options.Dir = filepath.Join(r.dir, fmt.Sprintf("soak-%d", options.Seed))
		report, err := soak.Run(options)
		if err != nil {
			fmt.Fprintln(os.Stderr, "error:", err)
			return 2
		}
		printReport(report)
		if len(report.Violations) > 0 {
			code = 1
		}
	}
	return code
}

// printReport prints a line, and the faults and violations if there are violations.
func printReport(report soak.Report) {
	fmt.Printf("seed %d: %d faults, replies by status %v, requests by ending %v, resumed streams %d whole and %d broken, %d repeated responses, %d runs stopped and %d resumed, %d violations\n",
		report.Seed, len(report.Faults), report.Requests, report.Endings, report.WholeStreams, report.BrokenStreams, report.Repeats,
		report.StoppedRuns, report.ResumedRuns, len(report.Violations))
	for _, rollout := range report.Rollouts {
		fmt.Println("  ", rollout)
	}
	if len(report.Violations) == 0 {
		return
	}
	for _, fault := range report.Faults {
		fmt.Println("  ", fault)
	}
	for _, violation := range report.Violations {
		fmt.Println("  VIOLATION", violation.Description)
	}
}
