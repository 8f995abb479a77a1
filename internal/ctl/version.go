package ctl

import (
	"fmt"

	"github.com/spf13/cobra"
)

func newVersion(version string) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of bergamotctl",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), version)
			return err
		},
	}
}
