// Package order derives from the records of a control stream which engine orders and
// drains are in force, and decides the lease holder's next action.
package order

import (
	"bergamotsill.example/bergamotsill/internal/decision"
	"bergamotsill.example/bergamotsill/internal/lease"
	"bergamotsill.example/bergamotsill/internal/port"
)

// Stream returns the name of the control stream, which carries the orders of a data
// centre.
func Stream(dataCentre string) string { return "control/" + dataCentre }

// Kinds of record on a control stream, in addition to those of package lease.
const (
	// KindDrain asks all daemons to send no new requests to an engine.
	KindDrain    lease.Kind = "drain"
	KindDrainEnd lease.Kind = "drain-end"
	// KindOrder announces an order before it is sent.
	KindOrder   lease.Kind = "order"
	KindOutcome lease.Kind = "order-outcome"
	// KindSend announces that a copy of an order is about to be sent to an engine
	// that ignores fencing. KindSendEnd records that the copy can no longer take
	// effect.
	KindSend       lease.Kind = "unfenced-send"
	KindSendEnd    lease.Kind = "unfenced-send-end"
	KindCheckpoint lease.Kind = "checkpoint"
)

// Outcomes of an order.
const (
	// OutcomeDone means that the engine executed the order.
	OutcomeDone = "done"
	// OutcomeGone means that the engine's VM left before the order was executed.
	OutcomeGone = "engine gone"
	// OutcomeWithdrawn means that the engine refused the order or failed to execute
	// it, and that no copy of it can still take effect.
	OutcomeWithdrawn = "withdrawn"
)

// Results of a copy that can no longer take effect.
const (
	// CopyAccepted means that the engine responded that it executes the order.
	CopyAccepted = "accepted"
	CopyRefused  = "refused"
	CopyNotSent  = "not sent"
	// CopyEngineRestarted means that the engine's incarnation to which the copy was
	// sent has ended, and with it the connection that carried the copy.
	CopyEngineRestarted = "engine restarted"
)

// Record is the content of a record on a control stream. The embedded lease.Record
// identifies the writer and its lease.
type Record struct {
	lease.Record
	// Engine is the VM id of the engine.
	Engine string      `json:"engine,omitempty"`
	Order  *port.Order `json:"order,omitempty"`
	// Unfenced is set if the engine ignores fencing.
	Unfenced bool `json:"unfenced,omitempty"`
	// OrderID is set with KindOutcome and KindSend, Outcome with KindOutcome and
	// KindSendEnd.
	OrderID string `json:"order_id,omitempty"`
	Outcome string `json:"outcome,omitempty"`
	// Incarnation is the engine's incarnation, set with KindOutcome and KindSend.
	Incarnation string `json:"incarnation,omitempty"`
	// PoolDigest is the digest of the pool's configuration, set with KindOutcome.
	PoolDigest string `json:"basis,omitempty"`
	// CopyNumber is the number of the copy that KindSendEnd refers to.
	CopyNumber int64 `json:"copy,omitempty"`
	// Reasons are why the holder wrote the record.
	Reasons    []decision.Input `json:"reasons,omitempty"`
	Checkpoint *Checkpoint      `json:"checkpoint,omitempty"`
}
