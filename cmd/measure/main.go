// Command measure prints tables that compare routing policies and rate limiters.
package main

import (
	"flag"
	"os"

	"github.com/cranberrywalk/cranberrywalk/measure"
)

func main() {
	seeds := flag.Int("seeds", 5, "number of seeds")
	flag.Parse()
	measure.Report(os.Stdout, *seeds)
}
