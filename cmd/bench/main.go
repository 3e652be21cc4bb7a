// Command bench measures what a daemon adds to a request, how many requests it
// carries on one core and how much memory it takes. It runs the built programs
// on loopback for a bounded time.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := run(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "bench failed:", err)
		os.Exit(2)
	}
}
