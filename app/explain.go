package app

import (
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"github.com/cranberrywalk/cranberrywalk/explain"
)

func newExplain() *cobra.Command {
	var request string
	command := &cobra.Command{
		Use:   "explain --request ID FILE...",
		Short: "Tell from the logs of the daemons what happened to a request",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			var lines []explain.Line
			for _, file := range files {
				read, err := readLog(file)
				if err != nil {
					return &InputError{Cause: err}
				}
				lines = append(lines, read...)
			}
			return explain.Print(cmd.OutOrStdout(), explain.Request(request, lines))
		},
	}
	command.Flags().StringVar(&request, "request", "", "ID of the request")
	// The call fails only for an undeclared flag.
	_ = command.MarkFlagRequired("request")
	return command
}

func readLog(path string) ([]explain.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return explain.Read(explain.Log{Process: filepath.Base(path), Reader: file})
}
