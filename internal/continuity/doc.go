// Package continuity decides at which software version of a service's runners a stream may go on.
//
// Runners of several versions may serve side by side, and what two versions generate does not fit
// together. A stream therefore goes on only at the version that began it. Within one response the
// daemon knows that version. A stream that a client takes up again is looked up by the id of the client
// attempt that received its first event: in the Origins of the daemons that may have served it, and
// otherwise in the History of the service, which tells whether all streams that can still be taken up
// began at the same version. If neither tells, the stream must not go on.
//
// The package reads no clock; callers pass the current time. Its types are not safe for concurrent use.
package continuity
