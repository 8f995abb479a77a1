package order

import (
	"encoding/json"
	"slices"
	"sort"
	"time"

	"bergamotsill.example/bergamotsill/internal/lease"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/replay"
)

// CheckpointLimits define when a checkpoint is due. A holder renews its lease every few
// seconds, so most checkpoints are due because of the number of records.
var CheckpointLimits = replay.Limits{Records: 256, Age: 10 * time.Minute}

// Pending is an announced order without an outcome.
type Pending struct {
	Order port.Order `json:"order"`
	// Token is the fencing token to send: the offset of the announcing record plus 1.
	// It is above the tokens of all earlier orders of the same lease, so that an engine
	// also refuses a late repetition of an earlier order.
	Token int64 `json:"token"`
	// Unfenced is set if the engine ignores fencing. Each transmission of the order is
	// then recorded as a Copy.
	Unfenced bool `json:"unfenced,omitempty"`
	// AcceptedBy is the incarnation that accepted a copy of the order, for an engine that
	// ignores fencing.
	AcceptedBy string `json:"accepted,omitempty"`
}

// maxCopies bounds the open copies of one order.
const maxCopies = 3

// Copy is one transmission of an order to an engine that ignores fencing. It is
// recorded before it is sent, and is open until it is proved that it can no longer take
// effect.
type Copy struct {
	// Number is the offset of the copy's record plus 1.
	Number  int64  `json:"number"`
	OrderID string `json:"order"`
	// Incarnation is the only incarnation of the engine that the copy can reach.
	Incarnation string `json:"incarnation"`
	// Sender is the incarnation of the daemon that may send the copy.
	Sender string `json:"sender"`
}

// EngineState is the state of one engine's drain, orders and refusals, as derived from
// the stream.
type EngineState struct {
	// Engine is the VM id of the engine.
	Engine string `json:"engine"`
	// Drain is the offset of the open drain's record plus 1, 0 for none.
	Drain   int64    `json:"drain,omitempty"`
	Pending *Pending `json:"pending,omitempty"`
	// Copies are the open copies, oldest first; each may still take effect. All are of
	// one order. The slice is never modified in place.
	Copies []Copy `json:"copies,omitempty"`
	// Refusals are the changes whose orders were withdrawn, newest last.
	Refusals []Refusal `json:"refusals,omitempty"`
}

// Changing reports whether a drain is open or an order is pending.
func (e EngineState) Changing() bool { return e.Drain > 0 || e.Pending != nil }

// Open reports whether a drain is open, an order is pending or a copy of one may still
// arrive.
func (e EngineState) Open() bool { return e.Changing() || len(e.Copies) > 0 }

// empty reports whether nothing about the engine has to be kept.
func (e EngineState) empty() bool { return !e.Open() && len(e.Refusals) == 0 }

// Checkpoint is the state after all records below an offset.
type Checkpoint struct {
	// Covers is the offset of the first record that is not included.
	Covers  int64         `json:"covers"`
	Lease   lease.Lease   `json:"lease"`
	Engines []EngineState `json:"engines,omitempty"`
	// LastLoad is when the last order to load a model was announced.
	LastLoad time.Time `json:"last_load,omitzero"`
}

// State is the state of a control stream, whose records it applies in offset order. It
// is not safe for concurrent use.
type State struct {
	replay.Cursor
	// Lease holds the lease and this daemon's timing of it.
	Lease *lease.Machine

	// engines holds the engines whose state is not empty, by VM id.
	engines  map[string]EngineState
	lastLoad time.Time
}

// NewState returns a State that expects offset 0 next.
func NewState(opts lease.Options) *State {
	return &State{Lease: lease.NewMachine(opts), engines: map[string]EngineState{}}
}

// Engine returns the state of an engine.
func (s *State) Engine(id string) EngineState {
	e := s.engines[id]
	e.Engine = id
	return e
}

// Engines returns all engines with a drain, a pending order, an open copy or a
// refusal, sorted by VM id.
func (s *State) Engines() []EngineState {
	out := make([]EngineState, 0, len(s.engines))
	for _, e := range s.engines {
		out = append(out, e)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Engine < out[j].Engine })
	return out
}

// LastLoad returns when the last order to load a model was announced.
func (s *State) LastLoad() time.Time { return s.lastLoad }

// Checkpoint returns the state after all records below Next.
func (s *State) Checkpoint() *Checkpoint {
	return &Checkpoint{Covers: s.Next(), Lease: s.Lease.Lease(), Engines: s.Engines(), LastLoad: s.lastLoad}
}

// Restore replaces the state by a checkpoint, read at time now. It ignores a checkpoint
// that does not cover more than the state or that leaves a gap.
func (s *State) Restore(c *Checkpoint, now time.Duration) {
	if !s.CanRestore(c.Covers) {
		return
	}
	s.engines = map[string]EngineState{}
	for _, e := range c.Engines {
		s.engines[e.Engine] = e
	}
	s.lastLoad = c.LastLoad
	s.Lease.Restore(c.Lease, now)
	s.Cursor.Restore(c.Covers)
}

// Apply applies a record read at time now and reports whether it was accepted.
// Records that do not follow the last one applied are ignored, except for a checkpoint
// during a recovery, which replaces the state.
func (s *State) Apply(rec port.Record, now time.Duration) bool {
	var r Record
	// A malformed record has no effect on any reader.
	if err := json.Unmarshal(rec.Data, &r); err != nil {
		r = Record{}
	}
	checkpoint := r.Kind == KindCheckpoint && r.Checkpoint != nil
	if checkpoint && rec.Offset >= s.Base() {
		s.ObserveCheckpoint(r.Checkpoint.Covers, rec.Time)
	}
	if rec.Offset > s.Next() && s.Recovering() {
		s.MarkScanned(rec.Offset)
		if checkpoint {
			s.Restore(r.Checkpoint, now)
		}
		return false
	}
	if rec.Offset != s.Next() {
		return false
	}
	s.Advance(rec.Time)
	switch r.Kind {
	case lease.KindClaim, lease.KindRenew, lease.KindRelease:
		return s.Lease.Apply(rec.ID, rec.Offset, r.Record, now)
	}
	e, accepted := s.applyToEngine(rec, r)
	if accepted {
		s.store(e)
		if r.Kind == KindOutcome {
			s.expireRefusals(rec.Time)
		}
		s.recordLoad(r, rec.Time)
	}
	return accepted
}

// store keeps an engine's state unless it is empty.
func (s *State) store(e EngineState) {
	if e.empty() {
		delete(s.engines, e.Engine)
		return
	}
	s.engines[e.Engine] = e
}

// expireRefusals removes refusals older than refusalRetention, including those of
// engines that have left.
func (s *State) expireRefusals(now time.Time) {
	for _, e := range s.engines {
		e.Refusals = slices.DeleteFunc(slices.Clone(e.Refusals), func(r Refusal) bool {
			return now.Sub(r.At) >= refusalRetention
		})
		s.store(e)
	}
}

func (s *State) recordLoad(r Record, at time.Time) {
	if r.Kind == KindOrder && r.Order.Kind == port.OrderLoadModel {
		s.lastLoad = at
	}
}

// applyToEngine returns an engine's state after a record, and whether the record was
// accepted. Only records of the lease holder are accepted, with one exception: a daemon
// incarnation may always report the result of a copy that it sent.
func (s *State) applyToEngine(rec port.Record, r Record) (EngineState, bool) {
	offset := rec.Offset
	e := s.Engine(r.Engine)
	if r.Engine == "" {
		return e, false
	}
	authorised := s.Lease.Lease().Authorises(r.Holder, r.Fencing)
	if r.Kind == KindSendEnd {
		return e.endCopy(r, authorised)
	}
	if !authorised {
		return e, false
	}
	switch {
	case r.Kind == KindDrain && e.Drain == 0:
		e.Drain = offset + 1
	case r.Kind == KindDrainEnd && e.Drain > 0 && e.Pending == nil:
		e.Drain = 0
	case r.Kind == KindSend && e.maySend(r):
		e.Copies = append(slices.Clip(e.Copies), Copy{
			Number: offset + 1, OrderID: r.OrderID, Incarnation: r.Incarnation, Sender: r.Holder,
		})
	case r.Kind == KindOrder && e.mayOrder(r):
		e.Pending = &Pending{Order: *r.Order, Token: offset + 1, Unfenced: r.Unfenced}
	case r.Kind == KindOutcome && e.Pending != nil && e.Pending.Order.ID == r.OrderID:
		e.Copies, e.Refusals = e.copiesAfter(r), e.refusalsAfter(r, rec.Time)
		e.Pending = nil
	default:
		return e, false
	}
	return e, true
}

// mayOrder reports whether an order may be announced. It may not while a copy of an
// earlier order can still take effect: the engine could execute that copy after the
// new order.
func (e EngineState) mayOrder(r Record) bool {
	return r.Order != nil && e.Drain > 0 && e.Pending == nil && len(e.Copies) == 0
}

// maySend reports whether a copy of the pending order may be sent.
func (e EngineState) maySend(r Record) bool {
	p := e.Pending
	return p != nil && p.Unfenced && p.Order.ID == r.OrderID && len(e.Copies) < maxCopies
}

// endCopy returns the state after a KindSendEnd record, and whether it was accepted.
func (e EngineState) endCopy(r Record, authorised bool) (EngineState, bool) {
	i := slices.IndexFunc(e.Copies, func(c Copy) bool { return c.Number == r.CopyNumber })
	if i < 0 || (!authorised && e.Copies[i].Sender != r.Holder) {
		return e, false
	}
	if r.Outcome == CopyAccepted && e.Pending != nil {
		pending := *e.Pending
		pending.AcceptedBy = e.Copies[i].Incarnation
		e.Pending = &pending
	}
	e.Copies = slices.Delete(slices.Clone(e.Copies), i, i+1)
	return e, true
}

// copiesAfter returns the copies that may still arrive after an outcome. If an
// incarnation of the engine executed the order, one copy sent to it has ended: the
// accepted one, which is no longer in Copies, or else the oldest one.
func (e EngineState) copiesAfter(r Record) []Copy {
	if r.Outcome == OutcomeGone {
		return nil
	}
	i := slices.IndexFunc(e.Copies, func(c Copy) bool { return c.Incarnation == r.Incarnation })
	if r.Incarnation == "" || e.Pending.AcceptedBy == r.Incarnation || i < 0 {
		return e.Copies
	}
	return slices.Delete(slices.Clone(e.Copies), i, i+1)
}
