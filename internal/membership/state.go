package membership

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Options configures a State.
type Options struct {
	// SuspectTimeout is how long a suspect may refute before it counts as dead.
	SuspectTimeout time.Duration
	// DeadRetention is how long a dead member is remembered, so that late
	// statements do not bring it back.
	DeadRetention time.Duration
	// MaxUpdates bounds the changes on one message.
	MaxUpdates int
}

// retransmitFactor times log2 of the member count is how often a change is sent,
// enough to reach everybody with high probability (SWIM, section 4.1).
const retransmitFactor = 3

// feedback is how many sends a change counts for when it comes back from another
// daemon.
const feedback = 3

// State is one daemon's view of the others. It is not safe for concurrent use.
type State struct {
	opts    Options
	rng     *rand.Rand
	self    Member
	members map[string]*entry
	// generation grows whenever the set of members or a status changes.
	generation uint64
	// local and all are random permutations of addresses that probes go through.
	local, all probeOrder
	probes     int
}

// probeOrder holds the addresses that are still to be probed in this round.
type probeOrder struct {
	// dataCentre limits the order to one data centre; empty means all.
	dataCentre string
	addresses  []string
}

// entry is what is known of one member.
type entry struct {
	member Member
	// since is when the status was learned.
	since time.Time
	// heard is when the member last answered this daemon.
	heard time.Time
	// sends is how often the newest change was passed on.
	sends int
}

// New returns a State that knows only the daemon itself.
func New(self Member, opts Options, rng *rand.Rand) *State {
	self.Status = Alive
	return &State{
		opts:    opts,
		rng:     rng,
		self:    self,
		members: map[string]*entry{},
		local:   probeOrder{dataCentre: self.DataCentre},
	}
}

// Self returns the daemon's own statement.
func (s *State) Self() Member { return s.self }

// Add makes an address known, for example from the VM list.
func (s *State) Add(m Member, now time.Time) {
	if m.Address == s.self.Address {
		return
	}
	if _, ok := s.members[m.Address]; ok {
		return
	}
	m.Incarnation = 0
	m.Status = Alive
	s.generation++
	s.members[m.Address] = &entry{member: m, since: now, heard: now, sends: math.MaxInt}
}

// Leave makes the daemon announce that it stops.
func (s *State) Leave() { s.self.Status = Left }

// Generation grows whenever the set of members or a status changes.
func (s *State) Generation() uint64 { return s.generation }

// Members returns all other daemons by address.
func (s *State) Members() []Member {
	out := make([]Member, 0, len(s.members))
	for _, e := range s.members {
		out = append(out, e.member)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Address, b.Address) })
	return out
}

// Member returns the statement about an address.
func (s *State) Member(address string) (Member, bool) {
	e, ok := s.members[address]
	if !ok {
		return Member{}, false
	}
	return e.member, true
}

// NextTarget returns the member to probe next: in turn one of the own data centre,
// because loads of engines travel within it, and one of all. Each goes through
// its members in a random order, so that every member is probed in each round.
// Dead members are probed too: a daemon may have been paused for long.
func (s *State) NextTarget() (Member, bool) {
	s.probes++
	if s.probes%2 == 0 {
		if m, ok := s.next(&s.local); ok {
			return m, true
		}
	}
	return s.next(&s.all)
}

func (s *State) next(o *probeOrder) (Member, bool) {
	for range 2 {
		for len(o.addresses) > 0 {
			address := o.addresses[0]
			o.addresses = o.addresses[1:]
			if e, ok := s.members[address]; ok && e.member.Status != Left {
				return e.member, true
			}
		}
		s.refill(o)
	}
	return Member{}, false
}

func (s *State) refill(o *probeOrder) {
	for _, m := range s.Members() {
		if o.dataCentre == "" || m.DataCentre == o.dataCentre {
			o.addresses = append(o.addresses, m.Address)
		}
	}
	s.rng.Shuffle(len(o.addresses), func(i, j int) {
		o.addresses[i], o.addresses[j] = o.addresses[j], o.addresses[i]
	})
}

// Relays returns up to k live members, other than target, that are asked to probe
// it when it does not answer this daemon.
func (s *State) Relays(target string, k int) []Member {
	var live []Member
	for _, m := range s.Members() {
		if m.Status == Alive && m.Address != target {
			live = append(live, m)
		}
	}
	s.rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(k, len(live))]
}

// RecordContact records that a member answered.
func (s *State) RecordContact(m Member, now time.Time) {
	s.Apply(m, now)
	if e, ok := s.members[m.Address]; ok {
		e.heard = now
	}
}

// RecordProbeFailure records that a member answered neither this daemon nor the relays.
func (s *State) RecordProbeFailure(address string, now time.Time) {
	e, ok := s.members[address]
	if !ok || e.member.Status != Alive {
		return
	}
	m := e.member
	m.Status = Suspect
	s.set(e, m, now)
}

// Apply takes in a statement of another daemon. It returns true when the
// statement was new.
func (s *State) Apply(m Member, now time.Time) bool {
	if m.Address == s.self.Address {
		return s.refute(m)
	}
	e, ok := s.members[m.Address]
	if !ok {
		if m.Status == Dead || m.Status == Left {
			return false
		}
		s.generation++
		s.members[m.Address] = &entry{member: m, since: now, heard: now}
		return true
	}
	if m == e.member {
		// Others know this change already (Demers et al., "Epidemic algorithms for
		// replicated database maintenance", 1987: feedback).
		e.sends = min(e.sends, math.MaxInt-feedback) + feedback
		return false
	}
	if m.Incarnation == 0 && m.Status != Alive && e.member.Status == Alive {
		// The sender never had an answer, so that it cannot name the run that it does
		// not reach. The member may refute.
		m = e.member
		m.Status = Suspect
	}
	if !m.newer(e.member) {
		return false
	}
	if e.member.Incarnation == 0 && m.Name == "" {
		m.Name, m.DataCentre = e.member.Name, e.member.DataCentre
	}
	expected := e.member.Incarnation == 0 && e.member.Status == Alive && m.Status == Alive
	s.set(e, m, now)
	if expected {
		// Others have the member from the VM list too and take it for alive. A fleet
		// that starts all at once would pass on every member.
		e.sends = math.MaxInt
	}
	return true
}

// refute raises the own incarnation above a statement that is wrong about this
// daemon: a suspicion, or one about an earlier run on the same address.
func (s *State) refute(m Member) bool {
	wrong := m.Status != s.self.Status || m.Run != s.self.Run
	if !wrong || m.Incarnation < s.self.Incarnation {
		return false
	}
	s.self.Incarnation = m.Incarnation + 1
	return true
}

func (s *State) set(e *entry, m Member, now time.Time) {
	s.generation++
	e.member = m
	e.since = now
	e.sends = 0
}

// Tick turns suspects that did not refute in time into dead or cut-off members
// and forgets members that have been dead for long.
func (s *State) Tick(now time.Time) {
	for address, e := range s.members {
		age := now.Sub(e.since)
		switch {
		case e.member.Status == Suspect && age >= s.opts.SuspectTimeout:
			m := e.member
			m.Status = s.verdict(e, now)
			s.set(e, m, now)
		case e.member.Status == CutOff && s.reachable(e.member.DataCentre, now):
			m := e.member
			m.Status = Dead
			s.set(e, m, now)
		case (e.member.Status == Dead || e.member.Status == Left) && age >= s.opts.DeadRetention:
			s.generation++
			delete(s.members, address)
		}
	}
}

// verdict decides what a suspect that did not refute is.
func (s *State) verdict(e *entry, now time.Time) Status {
	if e.member.DataCentre != s.self.DataCentre && !s.reachable(e.member.DataCentre, now) {
		return CutOff
	}
	return Dead
}

// reachable tells whether some daemon of a data centre is alive and answered this
// daemon lately.
func (s *State) reachable(dataCentre string, now time.Time) bool {
	if dataCentre == s.self.DataCentre {
		return true
	}
	window := s.round()
	for _, e := range s.members {
		m := e.member
		if m.DataCentre == dataCentre && m.Status == Alive && now.Sub(e.heard) < window {
			return true
		}
	}
	return false
}

// round bounds how long ago a live member was heard of: probes from it or to it
// come at least once per suspicion time in small fleets; in large ones a data
// centre has enough daemons that one of them was heard within it.
func (s *State) round() time.Duration { return s.opts.SuspectTimeout }

// Outgoing returns the changes to put on the next message to an address, the least
// often sent first. When the receiver does not count as alive the message says so,
// however often that was sent, so that it can refute.
func (s *State) Outgoing(to string) []Member {
	limit := retransmitFactor * int(math.Ceil(math.Log2(float64(len(s.members)+2))))
	var pending []*entry
	for _, e := range s.members {
		if e.sends < limit {
			pending = append(pending, e)
		}
	}
	slices.SortFunc(pending, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.sends, b.sends), cmp.Compare(a.member.Address, b.member.Address))
	})
	pending = pending[:min(len(pending), s.opts.MaxUpdates)]
	out := make([]Member, 0, len(pending)+1)
	if e, ok := s.members[to]; ok && e.member.Status != Alive {
		out = append(out, e.member)
	}
	for _, e := range pending {
		e.sends++
		out = append(out, e.member)
	}
	return out
}
