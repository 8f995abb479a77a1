package ctl

import (
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"bergamotsill.example/bergamotsill/internal/profile"
	"bergamotsill.example/bergamotsill/internal/settings"
)

func newValidate() *cobra.Command {
	var configuration bool
	cmd := &cobra.Command{
		Use:   "validate FILE",
		Short: "Check a settings file, or with --configuration a configuration document",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := validate(args[0], configuration); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: valid\n", args[0])
			return nil
		},
	}
	cmd.Flags().BoolVar(&configuration, "configuration", false, "the file is a configuration document")
	return cmd
}

func validate(file string, configuration bool) error {
	if !configuration {
		_, err := settings.Load(file)
		return err
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	_, list := profile.ParseDocument(file, data)
	return list.Err()
}
