// Command demo demonstrates the system: it starts the stand-ins and two daemons as
// separate processes on loopback, publishes example plans and allowances, sends
// requests through the daemons and stops all processes.
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
