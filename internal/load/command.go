package load

import (
	"errors"
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/profile"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// ErrFailed reports that a call was lost or ran twice.
var ErrFailed = errors.New("a call was lost or ran twice")

// flags of the load command.
type flags struct {
	vms           string
	configuration string
	traffic       string
	result        string
	seed          uint64
}

// NewCommand returns the command "load" of bergamot-standin.
func NewCommand() *cobra.Command {
	var f flags
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send a mix of calls and check every response",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	set := cmd.Flags()
	set.StringVar(&f.vms, "vms", "", "JSON file with the list of VMs")
	set.StringVar(&f.configuration, "configuration", "", "configuration document in force")
	set.StringVar(&f.traffic, "traffic", "", "traffic description")
	set.StringVar(&f.result, "result", "", "file for the line of totals; empty prints it")
	set.Uint64Var(&f.seed, "seed", 1, "seed of the random choices")
	for _, name := range []string{"vms", "configuration", "traffic"} {
		// The flags exist, so marking them cannot fail.
		_ = cmd.MarkFlagRequired(name)
	}
	return cmd
}

func (f *flags) run(cmd *cobra.Command) error {
	opts, err := f.options()
	if err != nil {
		return err
	}
	opts.Out = cmd.OutOrStdout()
	totals, results, err := NewRunner(opts).Run(cmd.Context())
	if err != nil {
		return err
	}
	PrintFailures(opts.Out, results)
	if err := f.write(cmd, totals); err != nil {
		return err
	}
	if !totals.OK() {
		return ErrFailed
	}
	return nil
}

func (f *flags) options() (Options, error) {
	vms, err := standin.ReadVMs(f.vms)
	if err != nil {
		return Options{}, err
	}
	data, err := os.ReadFile(f.configuration)
	if err != nil {
		return Options{}, trace.ConvertSystemError(err)
	}
	doc, list := profile.ParseDocument(f.configuration, data)
	if err := list.Err(); err != nil {
		return Options{}, err
	}
	traffic, err := ReadTraffic(f.traffic, doc)
	if err != nil {
		return Options{}, err
	}
	opts := Options{Configuration: doc, Traffic: traffic, Seed: f.seed}
	opts.Daemons = addresses(vms, port.KindDaemon)
	opts.Services = addresses(vms, port.KindService)
	if len(opts.Daemons) == 0 {
		return Options{}, trace.BadParameter("%s: no VM of kind %q", f.vms, port.KindDaemon)
	}
	return opts, nil
}

func addresses(vms []port.VM, kind port.VMKind) []string {
	var out []string
	for _, vm := range vms {
		if vm.Kind == kind {
			out = append(out, vm.Address)
		}
	}
	return out
}

func (f *flags) write(cmd *cobra.Command, totals Totals) error {
	if f.result == "" {
		_, err := fmt.Fprintln(cmd.OutOrStdout(), totals)
		return err
	}
	const mode = 0o644
	return trace.ConvertSystemError(os.WriteFile(f.result, []byte(totals.String()+"\n"), mode))
}
