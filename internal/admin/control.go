package admin

import "bergamotsill.example/bergamotsill/internal/port"

// MethodControl asks for what the daemons agree on.
const MethodControl = "admin.control"

// Control is the answer to MethodControl: leases, open changes of engines,
// suspect requests and peers as one daemon sees them.
type Control struct {
	Daemon   string    `json:"daemon"`
	Leases   []Lease   `json:"leases"`
	Changes  []Change  `json:"changes"`
	Suspects []Suspect `json:"suspects"`
	Members  []Member  `json:"members"`
}

// Lease is the lease of one data centre.
type Lease struct {
	DataCentre string `json:"data_centre"`
	// Holder is the VM id of the daemon that claimed the lease last, "" for none.
	Holder      string `json:"holder,omitempty"`
	Incarnation string `json:"incarnation,omitempty"`
	Fencing     int64  `json:"fencing,omitempty"`
	Released    bool   `json:"released,omitempty"`
	// Synced is false until the daemon has read the stream to its end once. It
	// sends nothing to engines of the data centre before.
	Synced bool `json:"synced"`
}

// Change is an engine that is drained, has a pending order, or has copies of orders
// that are not accounted for.
type Change struct {
	DataCentre string `json:"data_centre"`
	Engine     string `json:"engine"`
	Draining   bool   `json:"draining,omitempty"`
	// Order is the pending order, nil for none.
	Order *port.Order `json:"order,omitempty"`
	// OpenCopies is the number of copies of orders that may still reach an engine
	// that ignores fencing. While there is one, the engine takes no other change.
	OpenCopies int `json:"open_copies,omitempty"`
}

// Suspect is the digest of a request that was in flight at the crash of an engine.
type Suspect struct {
	Digest string `json:"digest"`
	Status string `json:"status"`
	// Engines are the VM ids of the engines that crashed.
	Engines []string `json:"engines"`
	// RemainingMS is the time in milliseconds until the digest is forgotten.
	RemainingMS int64 `json:"remaining_ms"`
}

// Member is another daemon.
type Member struct {
	Name        string `json:"name"`
	PeerAddress string `json:"peer_address"`
	DataCentre  string `json:"data_centre"`
	Status      string `json:"status"`
}
