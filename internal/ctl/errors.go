package ctl

import (
	"errors"

	"github.com/gravitational/trace"
)

// Errors that have their own exit codes.
var (
	// ErrConflict reports that a publication was rejected because another revision is in
	// force.
	ErrConflict = errors.New("another revision is in force")
	// ErrPartial reports that some daemons did not respond.
	ErrPartial = errors.New("some daemons did not respond")
	// ErrDifferent reports that two configurations differ.
	ErrDifferent = errors.New("the configurations differ")
	// ErrLost reports that configuration records expired unread and no checkpoint covers
	// them.
	ErrLost = errors.New("configuration records are lost")
)

// ExitCode returns the exit code of bergamotctl for the error that a command returned.
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

// Message returns the text of an error for users, without the stack traces that trace.Wrap
// recorded.
func Message(err error) string { return trace.UserMessage(err) }
