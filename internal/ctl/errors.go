package ctl

import (
	"errors"

	"github.com/gravitational/trace"
)

// Errors that have an exit code of their own.
var (
	// ErrConflict reports that another revision won.
	ErrConflict = errors.New("another revision is in force")
	// ErrPartial reports that some daemons did not answer.
	ErrPartial = errors.New("some daemons did not answer")
	// ErrDifferent reports that two configurations differ.
	ErrDifferent = errors.New("the configurations differ")
	// ErrLost reports that configuration records expired before any daemon read them.
	ErrLost = errors.New("configuration records are lost")
)

// ExitCode returns the exit code for the error of a command.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrLost):
		return ExitLost
	case errors.Is(err, ErrConflict):
		return ExitConflict
	case errors.Is(err, ErrPartial):
		return ExitPartial
	case errors.Is(err, ErrDifferent):
		return ExitDifferent
	case trace.IsBadParameter(err):
		return ExitInvalid
	}
	return ExitFailure
}

// Message returns the text of an error without the places in the code where it
// was wrapped.
func Message(err error) string { return trace.UserMessage(err) }
