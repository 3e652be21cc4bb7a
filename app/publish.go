package app

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/spf13/cobra"

	"github.com/cranberrywalk/cranberrywalk/plan"
)

// publishTimeout bounds one publish, amend or plans command.
const publishTimeout = 30 * time.Second

// baseUnset selects the version that is in force when the command runs.
const baseUnset = -1

// changeFlags are shared by the commands that change a list.
type changeFlags struct {
	settings string
	// base is the version that the change is based on, or baseUnset.
	base     int64
	identity string
}

func (f *changeFlags) add(command *cobra.Command) {
	addSettingsFlag(command, &f.settings)
	command.Flags().Int64Var(&f.base, "base", baseUnset, "version of the list that the change was made for (default: the one in force)")
	command.Flags().StringVar(&f.identity, "identity", "", "identity of the change; give it again to repeat a change whose verdict was lost")
}

func newPublish() *cobra.Command {
	var flags changeFlags
	var plans, allowances string
	command := &cobra.Command{
		Use:   "publish",
		Short: "Publish a whole list of plans, of allowances, or both",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			changes, err := readLists(plans, allowances)
			if err != nil {
				return err
			}
			return submit(cmd.Context(), cmd.OutOrStdout(), flags, changes)
		},
	}
	flags.add(command)
	command.Flags().StringVar(&plans, "plans", "", "JSON file with the list of plans")
	command.Flags().StringVar(&allowances, "allowances", "", "JSON file with the list of allowances")
	command.MarkFlagsOneRequired("plans", "allowances")
	return command
}

func readLists(plansFile, allowancesFile string) ([]plan.Change, error) {
	var changes []plan.Change
	if plansFile != "" {
		plans, err := readList(plansFile, plan.DecodePlans)
		if err != nil {
			return nil, err
		}
		changes = append(changes, plan.Change{List: plan.ListPlans, Kind: plan.KindPublish, Plans: plans})
	}
	if allowancesFile != "" {
		allowances, err := readList(allowancesFile, plan.DecodeAllowances)
		if err != nil {
			return nil, err
		}
		changes = append(changes, plan.Change{List: plan.ListAllowances, Kind: plan.KindPublish, Allowances: allowances})
	}
	return changes, nil
}

func readList[T any](file string, decode func([]byte) ([]T, error)) ([]T, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, &InputError{Cause: err}
	}
	list, err := decode(content)
	if err != nil {
		return nil, &InputError{Cause: err}
	}
	return list, nil
}

// submit appends the changes one after another and prints whether each was accepted.
// It stops at the first rejected change.
func submit(ctx context.Context, out io.Writer, flags changeFlags, changes []plan.Change) error {
	loaded, err := loadSettings(flags.settings)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	publisher, closePublisher := newPublisher(loaded)
	defer closePublisher()
	for _, change := range changes {
		state, err := publisher.Read(ctx)
		if err != nil {
			return err
		}
		change = completeChange(change, flags, state)
		verdict, err := publisher.Submit(ctx, state, change)
		if err != nil {
			return &VerdictLostError{Identity: change.Identity, Cause: err}
		}
		if err := report(out, change, verdict); err != nil {
			return err
		}
	}
	return nil
}

// completeChange sets the identity and the base of a change. With several changes in
// one command, the list's name makes the identity given by the operator unique.
func completeChange(change plan.Change, flags changeFlags, state plan.State) plan.Change {
	change.Identity = flags.identity
	if change.Identity == "" {
		change.Identity = ulid.Make().String()
	} else {
		change.Identity += "-" + string(change.List)
	}
	change.Base = state.Version(change.List)
	if flags.base != baseUnset {
		change.Base = uint64(flags.base)
	}
	return change
}

func report(out io.Writer, change plan.Change, verdict plan.Verdict) error {
	if !verdict.Accepted {
		return &RefusedError{Identity: change.Identity, Cause: verdict.Err}
	}
	_, err := fmt.Fprintf(out, "accepted: %s of list %s, identity %s, based on version %d\n",
		change.Kind, change.List, change.Identity, change.Base)
	return err
}
