// Package lease derives from the order of records on a log stream which daemon
// incarnation holds a lease, and decides when this daemon may rely on holding it.
package lease

import "errors"

// ErrHeld reports that another daemon may rely on the lease.
var ErrHeld = errors.New("another daemon holds the lease")

// Kind is the kind of a record about a lease.
type Kind string

// Kinds of record.
const (
	KindClaim   Kind = "lease-claim"
	KindRenew   Kind = "lease-renew"
	KindRelease Kind = "lease-release"
)

// Record is the content of a record about a lease.
type Record struct {
	Kind Kind `json:"kind"`
	// Holder is the incarnation of the writer, Daemon its VM id.
	Holder string `json:"holder"`
	Daemon string `json:"daemon,omitempty"`
	// Era is the era of the log in which the record was written, on a log that has eras.
	Era int64 `json:"era,omitempty"`
	// Fencing is the fencing token of the lease that a renewal or release refers to.
	Fencing int64 `json:"fencing,omitempty"`
	// Supersedes is the LastRecord of the lease that a claim replaces.
	Supersedes int64 `json:"supersedes,omitempty"`
}

// Lease is the state of a lease after a prefix of the stream. The zero value is a
// lease that was never claimed.
type Lease struct {
	// Holder is the incarnation of the daemon that claimed the lease last, Daemon its VM id.
	Holder string `json:"holder,omitempty"`
	Daemon string `json:"daemon,omitempty"`
	// Fencing is the fencing token: the offset of the accepted claim plus 1, so that it
	// grows with each claim.
	Fencing int64 `json:"fencing,omitempty"`
	// LastRecord is the offset of the last accepted record about the lease plus 1.
	LastRecord int64 `json:"last,omitempty"`
	Released   bool  `json:"released,omitempty"`
}

// Free reports whether the lease may be claimed without waiting, because it was never
// claimed or has been released.
func (l Lease) Free() bool { return l.LastRecord == 0 || l.Released }

// Authorises reports whether records of a holder with a fencing token have effect.
func (l Lease) Authorises(holder string, fencing int64) bool {
	return !l.Free() && l.Holder == holder && l.Fencing == fencing
}

// Apply returns the lease after a record, and whether the record was accepted. A
// claim is accepted only if the lease record that it supersedes is still the last one,
// so a renewal that precedes it on the log invalidates it.
func (l Lease) Apply(offset int64, r Record) (Lease, bool) {
	switch {
	case r.Kind == KindClaim && r.Supersedes == l.LastRecord:
		return Lease{Holder: r.Holder, Daemon: r.Daemon, Fencing: offset + 1, LastRecord: offset + 1}, true
	case r.Kind == KindRenew && l.Authorises(r.Holder, r.Fencing):
		l.LastRecord = offset + 1
		return l, true
	case r.Kind == KindRelease && l.Authorises(r.Holder, r.Fencing):
		l.LastRecord = offset + 1
		l.Released = true
		return l, true
	}
	return l, false
}
