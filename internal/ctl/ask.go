package ctl

import (
	"context"
	"fmt"
	"strings"
	"sync"

	"github.com/gravitational/trace"

	"bergamotsill.example/bergamotsill/internal/adapter/peer"
)

// response is the result of a call to one daemon.
type response[T any] struct {
	address string
	value   T
	err     error
}

// callDaemons calls a method of all daemons given by the --daemon flags concurrently. It
// returns the responses in the order of the flags. The error names the daemons that did not
// respond; it is ErrPartial when at least one did.
func callDaemons[T any](ctx context.Context, opts *options, method string, params any) ([]T, error) {
	ctx, cancel := context.WithTimeout(ctx, opts.timeout)
	defer cancel()
	nw, err := opts.daemonNetwork()
	if err != nil {
		return nil, err
	}
	dialer := peer.NewDialer(nw)
	defer dialer.Close()
	responses := make([]response[T], len(opts.daemons))
	var group sync.WaitGroup
	for i, address := range opts.daemons {
		a := &responses[i]
		a.address = address
		group.Go(func() { a.err = dialer.Dial(address).Call(ctx, method, params, &a.value) })
	}
	group.Wait()
	return collectResponses(responses)
}

// collectResponses separates the values of the responses from the errors, which it combines
// into one.
func collectResponses[T any](responses []response[T]) ([]T, error) {
	var values []T
	var failures []string
	for _, a := range responses {
		if a.err != nil {
			failures = append(failures, fmt.Sprintf("daemon %s: %s", a.address, trace.UserMessage(a.err)))
			continue
		}
		values = append(values, a.value)
	}
	if len(failures) == 0 {
		return values, nil
	}
	detail := strings.Join(failures, "\n")
	if len(values) == 0 {
		return nil, trace.ConnectionProblem(nil, "no daemon responded:\n%s", detail)
	}
	return values, trace.Wrap(ErrPartial, "%d of %d daemons did not respond:\n%s", len(failures), len(responses), detail)
}

// printPartial calls print when callErr is nil or ErrPartial, so that the responses that were
// received are printed. It returns callErr unless print fails.
func printPartial(callErr error, print func() error) error {
	if callErr != nil && ExitCode(callErr) != ExitPartial {
		return callErr
	}
	if err := print(); err != nil {
		return err
	}
	return callErr
}
