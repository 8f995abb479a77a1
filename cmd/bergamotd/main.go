// Command bergamotd is the daemon of bergamotsill. One daemon runs on each entry VM.
package main

import (
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"bergamotsill.example/bergamotsill/internal/daemon"
	"bergamotsill.example/bergamotsill/internal/version"
	"bergamotsill.example/bergamotsill/platform"
)

// exitInvalid is the exit code for invalid settings.
const exitInvalid = 2

func main() {
	root := &cobra.Command{
		Use:           "bergamotd --settings FILE",
		Short:         "Serve requests to a fixed fleet of model engines",
		Version:       version.String(),
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	path := root.Flags().String("settings", "", "settings file in JSON")
	// MarkFlagRequired fails only for an unknown flag.
	_ = root.MarkFlagRequired("settings")
	check := root.Flags().Bool("check", false, "check the settings and the files that they name, and exit")
	root.RunE = func(cmd *cobra.Command, _ []string) error {
		if *check {
			if err := daemon.Check(*path); err != nil {
				return err
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: valid settings\n", *path)
			return err
		}
		return daemon.Main(cmd.Context(), *path, version.String())
	}
	gateway := &cobra.Command{
		Use:   "gateway",
		Short: "Forward requests to runners on the operators' platform",
		Args:  cobra.NoArgs,
	}
	spread := gateway.Flags().Bool("spread-load", false, "draw among runners that cost nearly as much, so that daemons with the same reports choose different ones")
	gateway.RunE = func(cmd *cobra.Command, _ []string) error {
		return platform.Main(cmd.Context(), version.String(), *spread)
	}
	root.AddCommand(gateway)
	err := root.Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "bergamotd:", trace.UserMessage(err))
	if trace.IsBadParameter(err) {
		os.Exit(exitInvalid)
	}
	os.Exit(1)
}
