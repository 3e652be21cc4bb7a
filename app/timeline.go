package app

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/hostinghttp"
	"github.com/cranberrywalk/cranberrywalk/timeline"
)

// timelineTimeout bounds the request for the events of one daemon.
const timelineTimeout = 5 * time.Second

func newTimeline() *cobra.Command {
	var file string
	var asJSON bool
	var filter timeline.Filter
	command := &cobra.Command{
		Use:   "timeline",
		Short: "Print the events of all daemons in causal order",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			loaded, err := loadSettings(file)
			if err != nil {
				return err
			}
			list := hostinghttp.NewVMList(loaded.Platform.VMList, http.DefaultClient)
			snapshot, err := list.VMs(cmd.Context())
			if err != nil {
				return err
			}
			logs := readTimelines(cmd.Context(), cmd.ErrOrStderr(), snapshot.VMs)
			entries := filter.Apply(timeline.Merge(logs...))
			if asJSON {
				return timeline.WriteLines(cmd.OutOrStdout(), entries)
			}
			return timeline.WriteText(cmd.OutOrStdout(), entries)
		},
	}
	addSettingsFlag(command, &file)
	command.Flags().BoolVar(&asJSON, "json", false, "print JSON lines instead of text")
	command.Flags().StringVar(&filter.Request, "request", "", "only events of this request")
	command.Flags().StringVar(&filter.Customer, "customer", "", "only events of this customer")
	command.Flags().StringVar(&filter.Backend, "backend", "", "only events of this backend server")
	command.Flags().StringVar(&filter.Kind, "kind", "", "only events of this kind")
	return command
}

// readTimelines fetches the events of every daemon in the VM list. A daemon that
// can't be reached is skipped with a message on warnings.
func readTimelines(ctx context.Context, warnings io.Writer, vms []hosting.VM) [][]timeline.Entry {
	var logs [][]timeline.Entry
	for _, vm := range vms {
		if vm.Role != hosting.RoleEntry {
			continue
		}
		entries, err := readTimeline(ctx, vm.AdminAddress)
		if err != nil {
			fmt.Fprintf(warnings, "no events of %s: %v\n", vm.Name, err)
			continue
		}
		logs = append(logs, entries)
	}
	return logs
}

func readTimeline(ctx context.Context, address string) ([]timeline.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, timelineTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/timeline", http.NoBody)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return timeline.ReadLines(response.Body)
}
