package lease

import "time"

// renewalsPerLease is the number of renewals sent during one lease, so that two
// may be lost.
const renewalsPerLease = 3

// Options configures a Machine.
type Options struct {
	// Holder is this daemon's incarnation, Daemon its VM id.
	Holder string
	Daemon string
	// Duration is the length of a lease, Drift the margin that a challenger adds.
	Duration time.Duration
	Drift    time.Duration
}

// Machine adds this daemon's timing to a Lease. Times are those of a clock that
// goes on during suspend. It is not safe for concurrent use.
type Machine struct {
	opts  Options
	lease Lease
	// observed is when this daemon read the last accepted record.
	observed time.Duration
	// sentID and sentAt belong to the newest claim or renewal of this daemon.
	sentID     string
	sentAt     time.Duration
	validUntil time.Duration
}

// NewMachine returns a Machine that has read nothing.
func NewMachine(opts Options) *Machine { return &Machine{opts: opts} }

// Lease returns the result of what was read.
func (m *Machine) Lease() Lease { return m.lease }

// Restore replaces the lease by that of a checkpoint read at time now. The
// challenger's wait starts again, which only makes it longer.
func (m *Machine) Restore(l Lease, now time.Duration) {
	m.lease = l
	m.observed = now
}

// Apply applies a record with its id and offset, read at time now.
func (m *Machine) Apply(id string, offset int64, r Record, now time.Duration) bool {
	next, accepted := m.lease.Apply(offset, r)
	if !accepted {
		return false
	}
	m.lease = next
	m.observed = now
	if id == m.sentID && r.Kind != KindRelease {
		m.validUntil = m.sentAt + m.opts.Duration
	}
	return true
}

// mine tells whether the log shows this daemon as the holder.
func (m *Machine) mine() bool { return m.lease.Authorises(m.opts.Holder, m.lease.Fencing) }

// Held tells whether this daemon may rely on its lease. The lease counts from a
// time before the renewal was sent, a challenger's wait from when it was read.
func (m *Machine) Held(now time.Duration) bool { return m.mine() && now < m.validUntil }

// Claimable tells whether the lease may be claimed.
func (m *Machine) Claimable(now time.Duration) bool {
	if m.mine() {
		return false
	}
	return m.lease.Free() || now >= m.observed+m.opts.Duration+m.opts.Drift
}

// RenewalDue tells whether a renewal should be sent.
func (m *Machine) RenewalDue(now time.Duration) bool {
	return m.mine() && now >= m.sentAt+m.opts.Duration/renewalsPerLease
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

// Release returns a release. From then on the lease is not held, whether or not
// the release reaches the log.
func (m *Machine) Release() Record {
	m.validUntil = 0
	m.sentID = ""
	return Record{Kind: KindRelease, Holder: m.opts.Holder, Fencing: m.lease.Fencing}
}
