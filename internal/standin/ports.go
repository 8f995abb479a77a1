package standin

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// getTimeout bounds one request of the commands get and await.
	getTimeout = 2 * time.Second
	// awaitInterval is the time between two requests of the command await.
	awaitInterval = 100 * time.Millisecond
)

func newCheckPortsCommand() *cobra.Command {
	var vms string
	cmd := &cobra.Command{
		Use:   "check-ports [ADDRESS...]",
		Short: "Fail when an address is already in use, naming each one",
		RunE: func(_ *cobra.Command, addresses []string) error {
			list, err := ReadVMs(vms)
			if err != nil {
				return err
			}
			return checkPorts(append(addresses, listenAddresses(list)...))
		},
	}
	cmd.Flags().StringVar(&vms, "vms", "", "JSON file with a list of VMs whose addresses are checked too")
	return cmd
}

// listenAddresses returns the caller and peer addresses of all VMs.
func listenAddresses(vms []port.VM) []string {
	var out []string
	for _, vm := range vms {
		out = append(out, vm.Address)
		if vm.PeerAddress != "" {
			out = append(out, vm.PeerAddress)
		}
	}
	return out
}

// checkPorts opens and closes a listener at each address and returns an error that
// lists the addresses at which this failed.
func checkPorts(addresses []string) error {
	var failures []string
	for _, address := range addresses {
		l, err := net.Listen("tcp", address)
		if err != nil {
			failures = append(failures, err.Error())
			continue
		}
		// No connection was accepted, so an error of Close can be ignored.
		_ = l.Close()
	}
	if len(failures) > 0 {
		return trace.AlreadyExists("%d addresses cannot be used:\n%s", len(failures), strings.Join(failures, "\n"))
	}
	return nil
}

func newGetCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "get URL",
		Short: "Send one GET request and fail unless the status is 200",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return get(cmd.Context(), cmd.OutOrStdout(), args[0])
		},
	}
}

func newAwaitCommand() *cobra.Command {
	var timeout time.Duration
	cmd := &cobra.Command{
		Use:   "await URL",
		Short: "Send GET requests until the status is 200",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return await(cmd.Context(), args[0], timeout)
		},
	}
	cmd.Flags().DurationVar(&timeout, "timeout", 15*time.Second, "time limit")
	return cmd
}

// await sends GET requests until the status is 200. After timeout it returns the last
// error.
func await(ctx context.Context, url string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		err := get(ctx, io.Discard, url)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return trace.Wrap(err, "no response with status 200 within %s", timeout)
		case <-time.After(awaitInterval):
		}
	}
}

// get sends a GET request and copies the response body to out. It fails unless the status
// is 200.
func get(ctx context.Context, out io.Writer, url string) error {
	ctx, cancel := context.WithTimeout(ctx, getTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return trace.BadParameter("%v", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s: %s", url, resp.Status)
	}
	_, err = io.Copy(out, resp.Body)
	return trace.Wrap(err)
}
