package app

import (
	"context"
	"encoding/json"

	"github.com/spf13/cobra"

	"github.com/cranberrywalk/cranberrywalk/admin"
)

func newPlans() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "plans",
		Short: "Print the plans and allowances in force, read from the log service",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			loaded, err := loadSettings(file)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), publishTimeout)
			defer cancel()
			publisher, closePublisher := newPublisher(loaded)
			defer closePublisher()
			state, err := publisher.Read(ctx)
			if err != nil {
				return err
			}
			encoder := json.NewEncoder(cmd.OutOrStdout())
			encoder.SetIndent("", "  ")
			return encoder.Encode(admin.NewPlans(state))
		},
	}
	addSettingsFlag(command, &file)
	return command
}
