// Command bench measures the latency that a daemon adds to a request, its throughput
// on one core, and its idle CPU and memory use. It runs the built programs on
// loopback for a bounded time.
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
