// Command matrix causes every fault at every step, prints the table of what
// held, and exits with status 2 when a cell is red.
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
