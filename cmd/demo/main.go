// Command demo shows the system at work: it starts the stand-ins and two
// daemons as separate processes on loopback, publishes example lists, sends
// requests through and stops everything.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := run(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(2)
	}
}
