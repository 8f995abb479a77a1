package admin

import "bergamotsill.example/bergamotsill/internal/port"

// MethodControl is the JSON-RPC method that returns the coordination state of a daemon.
const MethodControl = "admin.control"

// Control is the response to MethodControl: leases, changes of engines in progress, suspect
// requests and peers as observed by one daemon.
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
	// Holder is the VM id of the daemon that claimed the lease last, empty for none.
	Holder string `json:"holder,omitempty"`
	// Incarnation is the incarnation of that daemon.
	Incarnation string `json:"incarnation,omitempty"`
	// Fencing is the fencing token of the lease.
	Fencing  int64 `json:"fencing,omitempty"`
	Released bool  `json:"released,omitempty"`
	// Synced is false until the daemon has read the control stream of the data centre to its
	// end once, or received its state from a peer. Until then the daemon sends nothing to
	// engines of the data centre, because they may be draining.
	Synced bool `json:"synced"`
}

// Change describes an engine that is draining, has a pending order, or may still receive
// copies of orders.
type Change struct {
	DataCentre string `json:"data_centre"`
	Engine     string `json:"engine"`
	Draining   bool   `json:"draining,omitempty"`
	// Order is the pending order, nil for none.
	Order *port.Order `json:"order,omitempty"`
	// OpenCopies is the number of copies of orders that may still reach an engine that does
	// not check fencing tokens. While it is above 0, no other change of the engine starts.
	OpenCopies int `json:"open_copies,omitempty"`
}

// Suspect is the digest of a request that was in flight when an engine crashed.
type Suspect struct {
	Digest string `json:"digest"`
	Status string `json:"status"`
	// Engines are the VM ids of the engines that crashed.
	Engines []string `json:"engines"`
	// RemainingMS is the time in milliseconds until the entry expires.
	RemainingMS int64 `json:"remaining_ms"`
}

// Member is a peer daemon.
type Member struct {
	Name        string `json:"name"`
	PeerAddress string `json:"peer_address"`
	DataCentre  string `json:"data_centre"`
	Status      string `json:"status"`
}
