package app

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/cranberrywalk/cranberrywalk/daemon"
	"github.com/cranberrywalk/cranberrywalk/platform"
	"github.com/cranberrywalk/cranberrywalk/telemetry"
)

func newServe() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "serve",
		Short: "Run the daemon of an entry VM",
		Long: "Run the daemon of an entry VM.\n\nWithout --settings, the platform's settings file is used whose path " +
			"stands in the\nenvironment variable " + platform.SettingsPathVariable + ".",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			// From here on, a hangup does not end the process. Without the platform's
			// settings file there is nothing to read again.
			hangups := make(chan os.Signal, 1)
			signal.Notify(hangups, syscall.SIGHUP)
			defer signal.Stop(hangups)
			if path := os.Getenv(platform.SettingsPathVariable); file == "" && path != "" {
				return serveOnPlatform(ctx, path, hangups, cmd.OutOrStdout())
			}
			if file == "" {
				return &InputError{Cause: &MissingSettingsError{Variable: platform.SettingsPathVariable}}
			}
			loaded, err := loadSettings(file)
			if err != nil {
				return err
			}
			listening := func() { fmt.Fprintln(cmd.OutOrStdout(), "ready", loaded.Callers.Address) }
			common := telemetry.NewCommon()
			limitMemory(common, loaded.Daemon.MemoryBytes)
			return daemon.New(common, loaded).Run(ctx, listening)
		},
	}
	command.Flags().StringVar(&file, "settings", "", "settings file of the daemon")
	return command
}
