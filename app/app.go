// Package app holds the command line of cranberrywalk.
package app

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// The exit codes of the program.
const (
	exitClean  = 0
	exitInput  = 1
	exitFailed = 2
)

// Run executes the command line and returns the exit code of the process.
func Run(arguments []string, stdout, stderr io.Writer) int {
	root := newRoot()
	hasRun := false
	noteRuns(root, &hasRun)
	root.SetArgs(arguments)
	root.SetOut(stdout)
	root.SetErr(stderr)
	if err := root.ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(stderr, "error:", err)
		if !hasRun {
			// The arguments were refused before any command ran.
			return exitInput
		}
		return exitCode(err)
	}
	return exitClean
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "cranberrywalk",
		Short:         "Serve model-backed applications on reclaimable VMs",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newServe(), newCheck(), newPublish(), newAmend(), newPlans(), newTimeline(), newExplain(), newVersion())
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &InputError{Cause: err} })
	return root
}

// noteRuns makes each command note that its arguments were taken.
func noteRuns(root *cobra.Command, hasRun *bool) {
	for _, command := range root.Commands() {
		run := command.RunE
		command.RunE = func(cmd *cobra.Command, arguments []string) error {
			*hasRun = true
			return run(cmd, arguments)
		}
	}
}
