package app

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/cranberrywalk/cranberrywalk/settings"
)

func newCheck() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "check",
		Short: "Check a settings file and print every fault of it",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := loadSettings(file); err != nil {
				return err
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: no faults\n", file)
			return err
		},
	}
	addSettingsFlag(command, &file)
	return command
}

// addSettingsFlag declares the required flag that names the settings file.
func addSettingsFlag(command *cobra.Command, file *string) {
	command.Flags().StringVar(file, "settings", "", "settings file of the daemon")
	// The call fails only for an undeclared flag.
	_ = command.MarkFlagRequired("settings")
}

func loadSettings(file string) (settings.Settings, error) {
	loaded, err := settings.Load(file)
	if err != nil {
		return settings.Settings{}, &InputError{Cause: err}
	}
	return loaded, nil
}
