package membership

import "bergamotsill.example/bergamotsill/internal/engineview"

// Methods of the peer interface that carry membership.
const (
	// MethodProbe exchanges a Message for a Message.
	MethodProbe = "peer.probe"
	// MethodRelay asks a daemon to probe another one on behalf of the sender.
	MethodRelay = "peer.relay"
	// MethodView returns a View, for a daemon that has just started.
	MethodView = "peer.view"
	// MethodEngines returns the state of some engines, for a daemon that has missed a
	// change.
	MethodEngines = "peer.engines"
	// MethodVMs returns the VM list as a port.VMSnapshot.
	MethodVMs = "peer.vms"
)

// Message is the content of a probe and of its response. Field names are short
// because every daemon sends a few messages per second.
type Message struct {
	From    Member   `json:"f"`
	Members []Member `json:"m,omitempty"`
	// Engines and Loads carry changes and loads of engines; see package engineview.
	Engines []engineview.Change `json:"e,omitempty"`
	Loads   []byte              `json:"l,omitempty"`
	// VMsHash identifies the content of the sender's VM list. VMsTime is the time, in
	// Unix milliseconds, as of which that list is current.
	VMsHash uint64 `json:"h,omitempty"`
	VMsTime int64  `json:"t,omitempty"`
	// Revision is the sender's configuration revision.
	Revision int64 `json:"c,omitempty"`
}

// RelayParams is the argument of MethodRelay.
type RelayParams struct {
	Address string `json:"address"`
}

// EnginesParams is the argument of MethodEngines; the response is a list of
// engineview.Change.
type EnginesParams struct {
	Keys []uint32 `json:"keys"`
}

// View is the response to MethodView.
type View struct {
	Members []Member            `json:"members"`
	Engines []engineview.Change `json:"engines"`
}
