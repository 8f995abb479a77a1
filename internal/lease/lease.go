// Package lease decides from the order of records on a log stream which daemon
// incarnation holds a lease, and when this daemon may rely on holding it.
package lease

// Kind distinguishes records about a lease.
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
	// Fencing is the lease that a renewal or release refers to.
	Fencing int64 `json:"fencing,omitempty"`
	// Supersedes is the Last of the lease that a claim replaces.
	Supersedes int64 `json:"supersedes,omitempty"`
}

// Lease is the result of a prefix of the stream. The zero value means that nobody
// has claimed it.
type Lease struct {
	Holder string `json:"holder,omitempty"`
	Daemon string `json:"daemon,omitempty"`
	// Fencing is the offset of the accepted claim plus 1; it grows with each claim.
	Fencing int64 `json:"fencing,omitempty"`
	// LastRecord is the offset of the last accepted record about the lease plus 1.
	LastRecord int64 `json:"last,omitempty"`
	Released   bool  `json:"released,omitempty"`
}

// Free tells whether the lease may be claimed at once.
func (l Lease) Free() bool { return l.LastRecord == 0 || l.Released }

// Authorises tells whether a record by a holder with a fencing number has effect.
func (l Lease) Authorises(holder string, fencing int64) bool {
	return !l.Free() && l.Holder == holder && l.Fencing == fencing
}

// Apply returns the lease after a record, and whether the record was accepted. A
// claim is accepted only if the lease record that it names is still the last one,
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
