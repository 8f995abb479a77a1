// Package order decides, from the order of records on a control stream, which
// engine orders and drains are in force and what the lease holder does next.
package order

import (
	"bergamotsill.example/bergamotsill/internal/decision"
	"bergamotsill.example/bergamotsill/internal/lease"
	"bergamotsill.example/bergamotsill/internal/port"
)

// Stream returns the stream that carries the orders of a data centre.
func Stream(dataCentre string) string { return "control/" + dataCentre }

// Kinds of record, beside those of package lease.
const (
	// KindDrain asks all daemons to send an engine no new work.
	KindDrain    lease.Kind = "drain"
	KindDrainEnd lease.Kind = "drain-end"
	// KindOrder announces an order before it is sent.
	KindOrder   lease.Kind = "order"
	KindOutcome lease.Kind = "order-outcome"
	// KindSend announces that a copy of an order is about to be sent to an engine
	// that ignores fencing; KindSendEnd tells that the copy can have no effect any
	// more.
	KindSend       lease.Kind = "unfenced-send"
	KindSendEnd    lease.Kind = "unfenced-send-end"
	KindCheckpoint lease.Kind = "checkpoint"
)

// Outcomes of an order.
const (
	OutcomeDone = "done"
	// OutcomeGone means that the engine's VM has left before the order was done.
	OutcomeGone = "engine gone"
	// OutcomeWithdrawn means that the engine refused the order or failed to carry it
	// out, and that no copy of it can take effect any more.
	OutcomeWithdrawn = "withdrawn"
)

// Ends of a copy.
const (
	// CopyAccepted means that the engine answered that it carries out the order.
	CopyAccepted = "accepted"
	CopyRefused  = "refused"
	CopyNotSent  = "not sent"
	// CopyEngineRestarted means that the incarnation it was sent to has ended, and with it
	// the connection that carried the copy.
	CopyEngineRestarted = "engine restarted"
)

// Record is the content of a record on a control stream. The embedded fields name
// the writer and its lease.
type Record struct {
	lease.Record
	// Engine is the VM id of the engine.
	Engine string      `json:"engine,omitempty"`
	Order  *port.Order `json:"order,omitempty"`
	// Unfenced is set when the engine ignores fencing.
	Unfenced bool `json:"unfenced,omitempty"`
	// OrderID belongs to KindOutcome and KindSend, Outcome to KindOutcome and
	// KindSendEnd.
	OrderID string `json:"order_id,omitempty"`
	Outcome string `json:"outcome,omitempty"`
	// Incarnation is the engine's; it belongs to KindOutcome and KindSend.
	Incarnation string `json:"incarnation,omitempty"`
	// PoolDigest is the digest of the pool's configuration; it belongs to KindOutcome.
	PoolDigest string `json:"basis,omitempty"`
	// CopyNumber is the number of the copy that KindSendEnd is about.
	CopyNumber int64 `json:"copy,omitempty"`
	// Reasons tell why the holder wrote the record.
	Reasons    []decision.Input `json:"reasons,omitempty"`
	Checkpoint *Checkpoint      `json:"checkpoint,omitempty"`
}
