// Package admission decides which requests start, which wait and which are
// refused, so that a flood of one kind of request leaves the other ranks their
// minimum shares.
//
// Cost is counted in prompt and output tokens. The package does no I/O, reads no
// clock and is not safe for concurrent use: the caller passes the time and
// serialises the calls.
package admission
