package membership

// Status is the state of a daemon as observed by another one.
type Status int

// Statuses, in increasing precedence for the same incarnation.
const (
	Alive Status = iota
	// Suspect means that probes fail. The daemon may still refute the suspicion.
	Suspect
	// CutOff means that the daemon is in another data centre of which no daemon
	// responds.
	CutOff
	// Dead means that the suspicion was not refuted in time.
	Dead
	// Left means that the daemon announced that it stops.
	Left
)

// String returns the status in lower case.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case CutOff:
		return "cut-off"
	case Dead:
		return "dead"
	case Left:
		return "left"
	}
	return "unknown"
}

// Member is one daemon. The address identifies it.
type Member struct {
	// Address is host:port of the peer interface.
	Address    string `json:"a"`
	Name       string `json:"n,omitempty"`
	DataCentre string `json:"d,omitempty"`
	// Run identifies the daemon's process, from its start to its stop.
	Run string `json:"r,omitempty"`
	// Incarnation orders the states of a member. Only the member itself raises it:
	// at start to the start time in Unix milliseconds, later to refute a wrong state.
	Incarnation int64  `json:"i,omitempty"`
	Status      Status `json:"s,omitempty"`
}

// newer reports whether m replaces old, a state of the same member.
func (m Member) newer(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.Status > old.Status
}
