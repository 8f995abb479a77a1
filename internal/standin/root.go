package standin

import (
	"encoding/json"
	"net/http"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/jsonlog"
	"bergamotsill.example/bergamotsill/internal/port"
)

// crashExitCode is the exit code of an engine process that crashes.
const crashExitCode = 70

// logLevelFlag is the name of the persistent flag for the log level.
const logLevelFlag = "log-level"

// NewRoot returns the root command of bergamot-standin.
func NewRoot(version string) *cobra.Command {
	root := &cobra.Command{
		Use:           "bergamot-standin",
		Short:         "Stand-ins for engines, plain services and the platform",
		Version:       version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.PersistentFlags().String(logLevelFlag, "info", "debug, info, warn or error")
	root.AddCommand(
		newPlatformCommand(),
		newEngineCommand(),
		newServiceCommand(),
		newCheckPortsCommand(),
		newGetCommand(),
		newAwaitCommand(),
	)
	return root
}

// serve listens at an address and logs requests with the name of the process.
func serve(cmd *cobra.Command, listen, name string, h http.Handler) error {
	level, err := cmd.Flags().GetString(logLevelFlag)
	if err != nil {
		return trace.Wrap(err)
	}
	logger, err := jsonlog.New(level)
	if err != nil {
		return err
	}
	logger = logger.With(zap.String("process", name))
	logger.Info("serving", zap.String("address", listen))
	server := &http.Server{Addr: listen, Handler: LogRequests(h, logger), ErrorLog: zap.NewStdLog(logger)}
	return trace.Wrap(server.ListenAndServe())
}

func newPlatformCommand() *cobra.Command {
	var listen, vms string
	var retention int
	var lag time.Duration
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Serve the log service, the VM list and the weight store",
		RunE: func(cmd *cobra.Command, _ []string) error {
			list, err := ReadVMs(vms)
			if err != nil {
				return err
			}
			p := NewPlatform(NewLog(retention), NewVMList(lag, list))
			return serve(cmd, listen, "platform", p.Handler())
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:7000", "IP:port")
	flags.StringVar(&vms, "vms", "", "JSON file with the list of VMs")
	flags.IntVar(&retention, "retention", 0, "records kept per stream; 0 keeps all")
	flags.DurationVar(&lag, "lag", time.Second, "lag of the VM list")
	return cmd
}

// ReadVMs reads a JSON list of VMs from a file. An empty path yields an empty list.
func ReadVMs(path string) ([]port.VM, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	var list []port.VM
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, trace.BadParameter("%s: %v", path, err)
	}
	return list, nil
}

func newEngineCommand() *cobra.Command {
	var listen, role string
	opts := EngineOptions{}
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Serve a stand-in for a model engine",
		RunE: func(cmd *cobra.Command, _ []string) error {
			opts.Role = port.Role(role)
			opts.Crash = func() { os.Exit(crashExitCode) }
			return serve(cmd, listen, opts.Name, NewEngine(opts).Handler())
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:7100", "IP:port")
	flags.StringVar(&opts.Name, "name", "engine", "name in reports")
	flags.StringVar(&opts.Model, "model", "", "model loaded at start")
	flags.StringVar(&opts.Software, "software", "", "version of the engine's software")
	flags.StringVar(&role, "role", string(port.RoleMixed), "role at start")
	flags.BoolVar(&opts.ChecksFencing, "checks-fencing", false, "refuse orders with an old fencing token")
	flags.Int64Var(&opts.Capacity, "capacity", 1000, "reported capacity in tokens per second")
	flags.Float64Var(&opts.PrefillRate, "prefill-rate", 20000, "prompt tokens per second")
	flags.DurationVar(&opts.TokenTime, "token-time", 10*time.Millisecond, "time between tokens")
	flags.DurationVar(&opts.ChangeTime, "change-time", 2*time.Second, "time of a change of role or model")
	return cmd
}

func newServiceCommand() *cobra.Command {
	var listen, name string
	var delay time.Duration
	cmd := &cobra.Command{
		Use:   "service",
		Short: "Serve a stand-in for a plain service",
		RunE: func(cmd *cobra.Command, _ []string) error {
			service := NewService(name)
			service.SetFaults(ServiceFaults{DelayMS: delay.Milliseconds()})
			return serve(cmd, listen, name, service.Handler())
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:7200", "IP:port")
	flags.StringVar(&name, "name", "service", "name in answers")
	flags.DurationVar(&delay, "delay", 0, "time before a call is executed")
	return cmd
}
