// Package ctl implements the commands of bergamotctl.
package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"bergamotsill.example/bergamotsill/internal/adapter/network"
	"bergamotsill.example/bergamotsill/internal/adapter/peer"
)

// Exit codes of bergamotctl.
const (
	ExitOK = 0
	// ExitFailure means that the command failed.
	ExitFailure = 1
	// ExitInvalid means that an input has findings.
	ExitInvalid = 2
	// ExitConflict means that another operator's revision won.
	ExitConflict = 3
)

// options are the flags that all commands share.
type options struct {
	daemon  string
	json    bool
	timeout time.Duration
}

// NewRoot returns the root command.
func NewRoot(version string) *cobra.Command {
	opts := &options{}
	root := &cobra.Command{
		Use:           "bergamotctl",
		Short:         "Operate a bergamotsill installation",
		Version:       version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	flags := root.PersistentFlags()
	flags.StringVar(&opts.daemon, "daemon", "127.0.0.1:7600", "peer address of a daemon, IP:port")
	flags.BoolVar(&opts.json, "json", false, "print JSON instead of a table")
	flags.DurationVar(&opts.timeout, "timeout", 10*time.Second, "time limit of the command")
	root.AddCommand(
		newValidate(),
		newPublish(opts),
		newStatus(opts),
		newExplain(opts),
		newBurn(opts),
		newRoles(opts),
	)
	return root
}

// call invokes a method of the daemon that the flags name.
func (o *options) call(ctx context.Context, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	dialer := peer.NewDialer(network.TCP{})
	defer dialer.Close()
	return dialer.Dial(o.daemon).Call(ctx, method, params, result)
}

func printJSON(w io.Writer, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s\n", data)
	return err
}
