package ctl

import (
	"errors"

	"github.com/gravitational/trace"
)

// ErrConflict reports that another revision won.
var ErrConflict = errors.New("another revision is in force")

// ExitCode returns the exit code for the error of a command.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrConflict):
		return ExitConflict
	case trace.IsBadParameter(err):
		return ExitInvalid
	}
	return ExitFailure
}

// Message returns the text of an error without the places in the code where it
// was wrapped.
func Message(err error) string { return trace.UserMessage(err) }
