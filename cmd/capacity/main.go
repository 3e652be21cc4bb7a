// Command capacity measures how the control-plane cost of one daemon grows with the
// runners and daemons of a zone, the VMs listed in other regions, the zones, the
// claims, the configuration changes and the open streams. It runs the built programs
// on loopback, at four sizes for each of them, and prints a table with the slope of
// each measure.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

func main() {
	only := flag.String("only", "", "measure just the series of this name")
	period := flag.Duration("period", 6*time.Second, "time for which each size is measured")
	flag.Parse()
	if err := run(os.Stdout, *only, *period); err != nil {
		fmt.Fprintln(os.Stderr, "capacity failed:", err)
		os.Exit(2)
	}
}
