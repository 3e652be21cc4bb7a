// Package app implements the command line of cranberrywalk.
package app

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// The exit codes of the program.
const (
	exitOK     = 0
	exitInput  = 1
	exitFailed = 2
)

// Run executes the command line and returns the exit code of the process.
func Run(arguments []string, stdout, stderr io.Writer) int {
	root := newRoot()
	executed := false
	trackExecution(root, &executed)
	root.SetArgs(arguments)
	root.SetOut(stdout)
	root.SetErr(stderr)
	if err := root.ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(stderr, "error:", err)
		if !executed {
			// The arguments were invalid, so that no command has run.
			return exitInput
		}
		return exitCode(err)
	}
	return exitOK
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "cranberrywalk",
		Short:         "Serve model-backed applications on reclaimable VMs",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newServe(), newCheck(), newPublish(), newAmend(), newPlans(), newTimeline(), newExplain(), newExplainRoute(), newVersion())
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &InputError{Cause: err} })
	return root
}

// trackExecution wraps each command so that it sets executed when it runs. Run uses
// this to distinguish a failed command from invalid arguments.
func trackExecution(root *cobra.Command, executed *bool) {
	for _, command := range root.Commands() {
		run := command.RunE
		command.RunE = func(cmd *cobra.Command, arguments []string) error {
			*executed = true
			return run(cmd, arguments)
		}
	}
}
