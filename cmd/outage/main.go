// Command outage prints a table that compares, during outages, two ways to decide which
// daemon may run a key: claims in the log and owned key ranges.
package main

import (
	"flag"
	"os"

	"github.com/cranberrywalk/cranberrywalk/outage"
)

func main() {
	seeds := flag.Int("seeds", 5, "number of seeds")
	flag.Parse()
	outage.Report(os.Stdout, outage.Scenarios(), *seeds)
}
