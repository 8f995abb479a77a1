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
	// SuspectTimeout is how long a suspect may refute before it is considered dead.
	SuspectTimeout time.Duration
	// DeadRetention is how long a member that is dead or has left is kept, so that late
	// updates do not add it again.
	DeadRetention time.Duration
	// MaxUpdates bounds the number of changes in one message.
	MaxUpdates int
}

// retransmitFactor times log2 of the number of members is how often a change is sent,
// enough to reach every member with high probability (SWIM, section 4.1).
const retransmitFactor = 3

// feedbackSends is added to the number of sends of a change when a peer sends the same
// change, because then other daemons have it already.
const feedbackSends = 3

// State is one daemon's view of its peers. It is not safe for concurrent use.
type State struct {
	opts    Options
	rng     *rand.Rand
	self    Member
	members map[string]*entry
	// generation increases whenever the set of members or a status changes.
	generation uint64
	// local and all hold the addresses to probe, in random order: those of this data
	// centre and those of all data centres.
	local, all probeOrder
	// probes counts the calls of NextTarget.
	probes int
}

// probeOrder holds the addresses that are still to be probed in this round.
type probeOrder struct {
	// dataCentre limits the order to one data centre; empty means all.
	dataCentre string
	addresses  []string
}

// entry is the state of one member.
type entry struct {
	member Member
	// statusSince is when this daemon recorded the status.
	statusSince time.Time
	// lastContact is when this daemon last received a message from the member.
	lastContact time.Time
	// sends is how often the newest change was sent.
	sends int
}

// New returns a State without members other than the daemon itself.
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

// Self returns this daemon's state as sent to peers.
func (s *State) Self() Member { return s.self }

// Add adds a member, for example from the VM list, unless its address is known. The
// member is assumed to be alive and the addition is not sent to peers.
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
	s.members[m.Address] = &entry{member: m, statusSince: now, lastContact: now, sends: math.MaxInt}
}

// Leave makes the daemon announce that it stops.
func (s *State) Leave() { s.self.Status = Left }

// Generation increases whenever the set of members or a status changes.
func (s *State) Generation() uint64 { return s.generation }

// Members returns all peers, sorted by address.
func (s *State) Members() []Member {
	out := make([]Member, 0, len(s.members))
	for _, e := range s.members {
		out = append(out, e.member)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Address, b.Address) })
	return out
}

// Member returns the newest known state of the member at an address.
func (s *State) Member(address string) (Member, bool) {
	e, ok := s.members[address]
	if !ok {
		return Member{}, false
	}
	return e.member, true
}

// NextTarget returns the member to probe next. It alternates between the members of
// the local data centre, because engine loads are exchanged within it, and all
// members. Each set is probed in random order, every member once per round. Dead
// members are probed too, because a daemon may have been paused for a long time.
func (s *State) NextTarget() (Member, bool) {
	s.probes++
	if s.probes%2 == 0 {
		if m, ok := s.nextOf(&s.local); ok {
			return m, true
		}
	}
	return s.nextOf(&s.all)
}

// nextOf returns the next member of an order and starts a new round if none is left.
func (s *State) nextOf(o *probeOrder) (Member, bool) {
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

// Relays returns up to k random live members other than target. They are asked to
// probe target if it does not respond to this daemon.
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

// RecordContact applies the state that a member reports of itself and records the time of
// the contact.
func (s *State) RecordContact(m Member, now time.Time) {
	s.Apply(m, now)
	if e, ok := s.members[m.Address]; ok {
		e.lastContact = now
	}
}

// RecordProbeFailure marks a live member as suspect after it responded neither to this
// daemon nor to the relays.
func (s *State) RecordProbeFailure(address string, now time.Time) {
	e, ok := s.members[address]
	if !ok || e.member.Status != Alive {
		return
	}
	m := e.member
	m.Status = Suspect
	s.setMember(e, m, now)
}

// Apply merges a change from a peer and reports whether it changed the state. A wrong
// state of this daemon itself raises its incarnation.
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
		s.members[m.Address] = &entry{member: m, statusSince: now, lastContact: now}
		return true
	}
	if m == e.member {
		// A peer already has this change, so it is sent less often (Demers et al.,
		// "Epidemic algorithms for replicated database maintenance", 1987: feedback).
		e.sends = min(e.sends, math.MaxInt-feedbackSends) + feedbackSends
		return false
	}
	if m.Incarnation == 0 && m.Status != Alive && e.member.Status == Alive {
		// The sender never received a response, so it cannot name the incarnation that
		// it does not reach. The member may refute the suspicion.
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
	s.setMember(e, m, now)
	if expected {
		// Peers have the member from the VM list too and assume that it is alive. When
		// all daemons start at once, each would otherwise send every member.
		e.sends = math.MaxInt
	}
	return true
}

// refute raises this daemon's incarnation above that of a wrong state: a suspicion, or
// the state of an earlier run on the same address. It reports whether the state was wrong
// and not outdated.
func (s *State) refute(m Member) bool {
	wrong := m.Status != s.self.Status || m.Run != s.self.Run
	if !wrong || m.Incarnation < s.self.Incarnation {
		return false
	}
	s.self.Incarnation = m.Incarnation + 1
	return true
}

// setMember records a new state of a member, which is then sent to peers.
func (s *State) setMember(e *entry, m Member, now time.Time) {
	s.generation++
	e.member = m
	e.statusSince = now
	e.sends = 0
}

// Tick marks suspects that did not refute in time as dead or cut off, marks cut-off
// members of a data centre that is reachable again as dead, and removes members that
// were dead or had left for DeadRetention.
func (s *State) Tick(now time.Time) {
	for address, e := range s.members {
		age := now.Sub(e.statusSince)
		switch {
		case e.member.Status == Suspect && age >= s.opts.SuspectTimeout:
			m := e.member
			m.Status = s.unrefutedStatus(e, now)
			s.setMember(e, m, now)
		case e.member.Status == CutOff && s.reachable(e.member.DataCentre, now):
			m := e.member
			m.Status = Dead
			s.setMember(e, m, now)
		case (e.member.Status == Dead || e.member.Status == Left) && age >= s.opts.DeadRetention:
			s.generation++
			delete(s.members, address)
		}
	}
}

// unrefutedStatus returns the status of a suspect that did not refute in time.
func (s *State) unrefutedStatus(e *entry, now time.Time) Status {
	if e.member.DataCentre != s.self.DataCentre && !s.reachable(e.member.DataCentre, now) {
		return CutOff
	}
	return Dead
}

// reachable reports whether some daemon of a data centre is alive and has contacted
// this daemon within contactWindow. The local data centre is always reachable.
func (s *State) reachable(dataCentre string, now time.Time) bool {
	if dataCentre == s.self.DataCentre {
		return true
	}
	window := s.contactWindow()
	for _, e := range s.members {
		m := e.member
		if m.DataCentre == dataCentre && m.Status == Alive && now.Sub(e.lastContact) < window {
			return true
		}
	}
	return false
}

// contactWindow is the longest time since the last contact with a reachable data
// centre. In a small fleet each member probes or is probed by this daemon at least once
// per SuspectTimeout. In a large fleet a data centre has enough daemons that at least
// one of them is in contact within that time.
func (s *State) contactWindow() time.Duration { return s.opts.SuspectTimeout }

// Outgoing returns the changes for the next message to an address, the least often
// sent first, and counts them as sent. A receiver that is not considered alive always
// gets its own entry, however often it was sent, so that it can refute it.
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
