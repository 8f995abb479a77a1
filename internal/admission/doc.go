// Package admission decides which requests start, which wait and which are
// refused, so that a flood of one kind of work leaves the others their share.
//
// Work is counted in tokens of prompt and output. It does no I/O, reads no clock
// and is not safe for concurrent use: the caller passes the time and serialises
// the calls.
package admission
