// Package admin defines the messages between bergamotctl and a daemon.
package admin

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/burn"
	"bergamotsill.example/bergamotsill/internal/decision"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/profile"
)

// Methods of the operators' interface.
const (
	MethodStatus  = "admin.status"
	MethodExplain = "admin.explain"
	MethodBurn    = "admin.burn"
	MethodRoles   = "admin.roles"
)

// Status is the answer to MethodStatus.
type Status struct {
	Daemon      string `json:"daemon"`
	Incarnation string `json:"incarnation"`
	Version     string `json:"version"`
	DataCentre  string `json:"data_centre"`
	Region      string `json:"region"`
	Ready       bool   `json:"ready"`
	Stopping    bool   `json:"stopping"`
	Revision    int64  `json:"revision"`
	// ConfigLoss is set when configuration records are lost and an operator has to publish
	// after the loss.
	ConfigLoss *profile.Loss `json:"lost,omitempty"`
	Upstreams  []Upstream    `json:"upstreams"`
}

// Upstream is the state of one engine or service as a daemon sees it.
type Upstream struct {
	VM       port.VM            `json:"vm"`
	InFlight int64              `json:"in_flight"`
	Report   *port.EngineStatus `json:"report,omitempty"`
	// ReportAge is the age of Report in nanoseconds.
	ReportAge time.Duration `json:"report_age_ns,omitempty"`
	Failed    bool          `json:"failed,omitempty"`
}

// ExplainParams is the argument of MethodExplain.
type ExplainParams struct {
	RequestID string `json:"request_id"`
}

// Explanation is the answer to MethodExplain.
type Explanation struct {
	Daemon    string            `json:"daemon"`
	RequestID string            `json:"request_id"`
	Records   []decision.Record `json:"records"`
}

// Burn is the answer to MethodBurn.
type Burn struct {
	Daemon string     `json:"daemon"`
	Rows   []burn.Row `json:"rows"`
}

// Roles is the answer to MethodRoles.
type Roles struct {
	Daemon  string            `json:"daemon"`
	Records []decision.Record `json:"records"`
}
