// Command matrix injects every fault at every step of a request and of a
// configuration change, prints a table of the results, and exits with status 2 when
// a case violates an invariant.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/cranberrywalk/cranberrywalk/matrix"
)

func main() {
	filter := flag.String("case", "", "run the cases with this text in their names only")
	seed := flag.Uint64("seed", matrix.Seed, "seed of the random choices")
	page := flag.Bool("page", false, "print the generated part of docs/FAULTS.md and run nothing")
	flag.Parse()
	if *page {
		matrix.WritePage(os.Stdout)
		return
	}
	verdicts := matrix.RunAll(*filter, *seed)
	matrix.Print(os.Stdout, verdicts)
	if err := matrix.CheckAll(verdicts); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}
