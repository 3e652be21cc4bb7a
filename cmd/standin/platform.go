package main

import (
	"encoding/json"
	"net/http"
	"os"

	"github.com/go-chi/chi/v5"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/hosting"
	"github.com/cranberrywalk/cranberrywalk/standin/cloud"
	"github.com/cranberrywalk/cranberrywalk/standin/logservice"
)

// newPlatform returns the command that serves the log, the VM list, the cloud API
// and the weight store on one address. Faults are set under /control/faults for the
// log and under /cloud/control/faults for the cloud.
func newPlatform() *cobra.Command {
	command := &cobra.Command{
		Use:   "platform",
		Short: "Serve the log, the VM list, the cloud API and the weight store",
		Args:  cobra.NoArgs,
	}
	logParameters := logFlags(command.Flags())
	cloudParameters := cloudFlags(command.Flags())
	vmsFile := command.Flags().String("vms", "", "JSON file with the VMs of the list at first")
	command.RunE = func(command *cobra.Command, _ []string) error {
		vms, err := readVMs(*vmsFile)
		if err != nil {
			return err
		}
		log := logservice.New(clock.Real(), *logParameters)
		return serve(command, join(log, cloud.New(clock.Real(), *cloudParameters, vms)), nil)
	}
	return command
}

// join routes the paths of the log to the log and all others to the cloud.
func join(log, cloud http.Handler) http.Handler {
	router := chi.NewRouter()
	router.Handle("/streams/*", log)
	router.Handle("/control/faults", log)
	router.Handle("/cloud/control/faults", http.StripPrefix("/cloud", cloud))
	router.Handle("/*", cloud)
	return router
}

func newLog() *cobra.Command {
	command := &cobra.Command{Use: "log", Short: "Serve the log", Args: cobra.NoArgs}
	parameters := logFlags(command.Flags())
	command.RunE = func(command *cobra.Command, _ []string) error {
		return serve(command, logservice.New(clock.Real(), *parameters), nil)
	}
	return command
}

func logFlags(flags *pflag.FlagSet) *logservice.Parameters {
	p := logservice.DefaultParameters()
	flags.IntVar(&p.RetainedRecords, "retained-records", p.RetainedRecords, "records that a stream keeps")
	flags.DurationVar(&p.Retention, "retention", p.Retention, "time that a stream keeps a record; 0 for no bound")
	flags.Float64Var(&p.AppendsPerSecond, "appends-per-second", p.AppendsPerSecond, "bound on the rate of appends; 0 for none")
	return &p
}

func cloudFlags(flags *pflag.FlagSet) *cloud.Parameters {
	p := cloud.DefaultParameters()
	flags.DurationVar(&p.ListLag, "list-lag", p.ListLag, "time after which a change shows in the VM list")
	flags.Float64Var(&p.OnDemandPrice, "on-demand-price", p.OnDemandPrice, "price of an hour of an on-demand VM")
	flags.Float64Var(&p.ReclaimablePrice, "reclaimable-price", p.ReclaimablePrice, "price of an hour of a reclaimable VM")
	flags.Var(zoneFactors{&p}, "zone-factor", "ZONE=FACTOR by which prices in a zone are multiplied; may be repeated")
	flags.Int64Var(&p.ModelBytes, "model-bytes", p.ModelBytes, "size of each model's weights")
	flags.Float64Var(&p.WeightBytesPerSecond, "weight-bytes-per-second", p.WeightBytesPerSecond, "transfer rate of the weight store")
	return &p
}

// readVMs reads a file in the format of the response to GET /vms.
func readVMs(path string) ([]hosting.VM, error) {
	if path == "" {
		return nil, nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var snapshot hosting.VMSnapshot
	if err := json.Unmarshal(content, &snapshot); err != nil {
		return nil, err
	}
	return snapshot.VMs, nil
}
