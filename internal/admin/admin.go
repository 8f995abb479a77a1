// Package admin defines the messages between bergamotctl and the daemons.
package admin

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/burn"
	"bergamotsill.example/bergamotsill/internal/decision"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/profile"
)

// JSON-RPC methods for operators.
const (
	MethodStatus  = "admin.status"
	MethodExplain = "admin.explain"
	MethodBurn    = "admin.burn"
	MethodRoles   = "admin.roles"
)

// Status is the response to MethodStatus.
type Status struct {
	Daemon      string `json:"daemon"`
	Incarnation string `json:"incarnation"`
	Version     string `json:"version"`
	DataCentre  string `json:"data_centre"`
	Region      string `json:"region"`
	Ready       bool   `json:"ready"`
	Stopping    bool   `json:"stopping"`
	Revision    int64  `json:"revision"`
	// ConfigLoss is set when configuration records expired before the daemon read them and
	// an operator has to publish with --after-loss.
	ConfigLoss *profile.Loss `json:"lost,omitempty"`
	Upstreams  []Upstream    `json:"upstreams"`
}

// Upstream is the state of one engine or plain service as observed by a daemon.
type Upstream struct {
	VM port.VM `json:"vm"`
	// InFlight is the number of in-flight requests of this daemon at the upstream.
	InFlight int64 `json:"in_flight"`
	// Report is the last status report of an engine, nil for none.
	Report *port.EngineStatus `json:"report,omitempty"`
	// ReportAge is the age of Report; encoded in nanoseconds.
	ReportAge time.Duration `json:"report_age_ns,omitempty"`
	// Failed is true when the daemon cannot reach the upstream.
	Failed bool `json:"failed,omitempty"`
}

// ExplainParams holds the parameters of MethodExplain.
type ExplainParams struct {
	RequestID string `json:"request_id"`
}

// Explanation is the response to MethodExplain: the decisions about one request.
type Explanation struct {
	Daemon    string            `json:"daemon"`
	RequestID string            `json:"request_id"`
	Records   []decision.Record `json:"records"`
}

// Burn is the response to MethodBurn.
type Burn struct {
	Daemon string     `json:"daemon"`
	Rows   []burn.Row `json:"rows"`
}

// Roles is the response to MethodRoles: the decisions about the roles of engines.
type Roles struct {
	Daemon  string            `json:"daemon"`
	Records []decision.Record `json:"records"`
}
