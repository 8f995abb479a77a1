package membership

// Status is the state of a daemon as seen by another one.
type Status int

// Statuses, in the order in which they replace each other at one incarnation.
const (
	Alive Status = iota
	// Suspect means that probes fail; the daemon has time to refute.
	Suspect
	// CutOff means that no daemon of another data centre answers.
	CutOff
	// Dead means that a suspicion was not refuted.
	Dead
	// Left means that the daemon announced its stop.
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
	// Run identifies one run of the daemon.
	Run string `json:"r,omitempty"`
	// Incarnation orders statements about a member. Only the member itself raises
	// it: at start to its boot time in milliseconds, then to refute.
	Incarnation int64  `json:"i,omitempty"`
	Status      Status `json:"s,omitempty"`
}

// newer tells whether statement m replaces statement old about the same address.
func (m Member) newer(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.Status > old.Status
}
