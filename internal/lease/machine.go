package lease

import "time"

// renewalsPerLease is the number of renewals sent per lease duration, so that two
// consecutive ones may be lost.
const renewalsPerLease = 3

// Options configures a Machine.
type Options struct {
	// Holder is this daemon's incarnation, Daemon its VM id.
	Holder string
	Daemon string
	// Duration is the length of a lease. Drift is the margin for clock drift that
	// another daemon waits beyond Duration before it claims the lease.
	Duration time.Duration
	Drift    time.Duration
}

// Machine adds this daemon's timing to a Lease. Times are readings of a clock that
// continues while the system is suspended. It is not safe for concurrent use.
type Machine struct {
	opts  Options
	lease Lease
	// lastObserved is when this daemon read the last accepted record.
	lastObserved time.Duration
	// sentID and sentAt are the id and the time of this daemon's newest claim or renewal.
	sentID string
	sentAt time.Duration
	// validUntil is the end of the lease as last confirmed by the log.
	validUntil time.Duration
}

// NewMachine returns a Machine that has not applied any record.
func NewMachine(opts Options) *Machine { return &Machine{opts: opts} }

// Lease returns the lease after the records applied so far.
func (m *Machine) Lease() Lease { return m.lease }

// Restore replaces the lease by that of a checkpoint read at time now. The wait before
// a claim starts again, which is safe because it only delays the claim.
func (m *Machine) Restore(l Lease, now time.Duration) {
	m.lease = l
	m.lastObserved = now
}

// Apply applies a record with its id and offset, read at time now, and reports whether
// it was accepted.
func (m *Machine) Apply(id string, offset int64, r Record, now time.Duration) bool {
	next, accepted := m.lease.Apply(offset, r)
	if !accepted {
		return false
	}
	m.lease = next
	m.lastObserved = now
	if id == m.sentID && r.Kind != KindRelease {
		m.validUntil = m.sentAt + m.opts.Duration
	}
	return true
}

// isHolder reports whether this daemon is the holder according to the records applied.
func (m *Machine) isHolder() bool { return m.lease.Authorises(m.opts.Holder, m.lease.Fencing) }

// Held reports whether this daemon may rely on its lease. The holder counts the
// duration from before it sent the renewal, other daemons from when they read it, so
// that the lease ends at the holder first.
func (m *Machine) Held(now time.Duration) bool { return m.isHolder() && now < m.validUntil }

// Claimable reports whether this daemon may claim the lease: it is not the holder, and
// the lease is free or has expired.
func (m *Machine) Claimable(now time.Duration) bool {
	if m.isHolder() {
		return false
	}
	return m.lease.Free() || now >= m.lastObserved+m.ClaimDelay()
}

// ClaimDelay returns how long after the last record of a holder another daemon may claim the lease.
func (m *Machine) ClaimDelay() time.Duration { return m.opts.Duration + m.opts.Drift }

// RenewalDue reports whether a renewal should be sent: this daemon is the holder, and it
// sent its last claim or renewal at least Duration/renewalsPerLease ago.
func (m *Machine) RenewalDue(now time.Duration) bool {
	return m.isHolder() && now >= m.sentAt+m.opts.Duration/renewalsPerLease
}

// Claim returns a claim that is about to be sent under the given id.
func (m *Machine) Claim(id string, now time.Duration) Record {
	m.sentID, m.sentAt = id, now
	return Record{Kind: KindClaim, Holder: m.opts.Holder, Daemon: m.opts.Daemon, Supersedes: m.lease.LastRecord}
}

// Renew returns a renewal that is about to be sent under the given id.
func (m *Machine) Renew(id string, now time.Duration) Record {
	m.sentID, m.sentAt = id, now
	return Record{Kind: KindRenew, Holder: m.opts.Holder, Fencing: m.lease.Fencing}
}

// Release returns a release. From then on this daemon does not rely on the lease,
// whether or not the release reaches the log.
func (m *Machine) Release() Record {
	m.validUntil = 0
	m.sentID = ""
	return Record{Kind: KindRelease, Holder: m.opts.Holder, Fencing: m.lease.Fencing}
}
