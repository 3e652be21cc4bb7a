package app

import (
	"github.com/spf13/cobra"

	"github.com/cranberrywalk/cranberrywalk/plan"
)

func newAmend() *cobra.Command {
	var flags changeFlags
	var list, entry, remove string
	command := &cobra.Command{
		Use:   "amend",
		Short: "Set or remove one entry of a list",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			change, err := readAmendment(plan.ListName(list), entry, remove)
			if err != nil {
				return err
			}
			return submit(cmd.Context(), cmd.OutOrStdout(), flags, []plan.Change{change})
		},
	}
	flags.add(command)
	command.Flags().StringVar(&list, "list", "", "list to amend: Plans or Allowances")
	command.Flags().StringVar(&entry, "entry", "", "JSON file with the entry to set")
	command.Flags().StringVar(&remove, "remove", "", "name of the entry to remove")
	command.MarkFlagsOneRequired("entry", "remove")
	command.MarkFlagsMutuallyExclusive("entry", "remove")
	// The call fails only for an undeclared flag.
	_ = command.MarkFlagRequired("list")
	return command
}

func readAmendment(list plan.ListName, entry, remove string) (plan.Change, error) {
	change := plan.Change{List: list, Kind: plan.KindRemove, Entry: remove}
	if remove != "" {
		return change, nil
	}
	change.Kind = plan.KindAmend
	var err error
	switch list {
	case plan.ListPlans:
		change.Plans, err = readList(entry, decodeOne(plan.DecodePlans))
	case plan.ListAllowances:
		change.Allowances, err = readList(entry, decodeOne(plan.DecodeAllowances))
	default:
		err = &InputError{Cause: &UnknownListError{List: string(list)}}
	}
	return change, err
}

// decodeOne adapts a list decoder to a file that holds a single entry.
func decodeOne[T any](decode func([]byte) ([]T, error)) func([]byte) ([]T, error) {
	return func(content []byte) ([]T, error) {
		list := append([]byte{'['}, content...)
		return decode(append(list, ']'))
	}
}
