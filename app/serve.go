package app

import (
	"fmt"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/cranberrywalk/cranberrywalk/daemon"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

func newServe() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "serve",
		Short: "Run the daemon of an entry VM",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			loaded, err := loadSettings(file)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			listening := func() { fmt.Fprintln(cmd.OutOrStdout(), "ready", loaded.Callers.Address) }
			return daemon.New(telemetry.NewCommon(), loaded).Run(ctx, listening)
		},
	}
	addSettingsFlag(command, &file)
	return command
}
