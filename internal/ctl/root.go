// Package ctl implements the commands of bergamotctl.
package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"bergamotsill.example/bergamotsill/internal/adapter/network"
)

// Exit codes of bergamotctl. docs/bergamotctl.md lists them for operators.
const (
	ExitOK = 0
	// ExitFailure means that the command failed.
	ExitFailure = 1
	// ExitInvalid means that an input is invalid.
	ExitInvalid = 2
	// ExitConflict means that the publication was rejected because another revision is in
	// force.
	ExitConflict = 3
	// ExitPartial means that some of the daemons did not respond.
	ExitPartial = 4
	// ExitDifferent means that diff found differences.
	ExitDifferent = 5
	// ExitLost means that configuration records are lost and an operator has to
	// publish with --after-loss.
	ExitLost = 6
)

// options holds the flags that all commands share.
type options struct {
	daemons []string
	json    bool
	timeout time.Duration
	// network opens the connections to daemons and to the log service.
	network network.Network
	tls     tlsFlags
}

// NewRoot returns the root command of bergamotctl.
func NewRoot(version string) *cobra.Command {
	return newRoot(version, &options{network: network.TCP{}})
}

func newRoot(version string, opts *options) *cobra.Command {
	root := &cobra.Command{
		Use:           "bergamotctl",
		Short:         "Operate a bergamotsill installation",
		Version:       version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	flags := root.PersistentFlags()
	flags.StringSliceVar(&opts.daemons, "daemon", []string{"127.0.0.1:7600"},
		"peer address of a daemon, IP:port; may be repeated or hold a list with commas")
	flags.BoolVar(&opts.json, "json", false, "print JSON instead of a table")
	flags.DurationVar(&opts.timeout, "timeout", 10*time.Second, "time limit of the command")
	opts.tls.register(flags)
	root.AddCommand(
		newValidate(),
		newPublish(opts),
		newDiff(opts),
		newRollForward(opts),
		newRevisions(opts),
		newStatus(opts),
		newControl(opts),
		newExplain(opts),
		newLogs(opts),
		newBurn(opts),
		newRoles(opts),
		newVersion(version),
	)
	return root
}

func printJSON(w io.Writer, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s\n", data)
	return err
}
