// Command outage prints the table that compares claims on the log with owned
// key ranges in outages.
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
