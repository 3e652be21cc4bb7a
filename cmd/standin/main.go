// Command standin runs a stand-in for an external system: the platform, its log
// alone, a model engine or a plain service.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes of the program.
const (
	exitFailed  = 1
	exitCrashed = 2
)

func main() {
	os.Exit(run())
}

// run executes the command line until it ends or the process receives SIGTERM or an
// interrupt, and returns the exit code.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	err := newRoot().ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "error:", err)
	return exitCode(err)
}
