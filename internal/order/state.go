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

// CheckpointLimits tell when a checkpoint is due. A holder renews its lease every few
// seconds, so most checkpoints are due by their number of records.
var CheckpointLimits = replay.Limits{Records: 256, Age: 10 * time.Minute}

// Pending is an order that was announced and has no outcome yet.
type Pending struct {
	Order port.Order `json:"order"`
	// Token is the fencing number to send: the offset of the record plus 1. It is
	// above those of all earlier orders of the same lease, so that an engine also
	// refuses a late repetition of an earlier order.
	Token    int64 `json:"token"`
	Unfenced bool  `json:"unfenced,omitempty"`
	// AcceptedBy is the incarnation of an engine that ignores fencing that answered
	// a copy of the order.
	AcceptedBy string `json:"accepted,omitempty"`
}

// maxCopies is the number of copies of one order whose fate may be open at once.
const maxCopies = 3

// Copy is one send of an order to an engine that ignores fencing. It is on the
// log from before the send until it is proved that it can have no effect any more.
type Copy struct {
	// Number is the offset of the copy's record plus 1.
	Number  int64  `json:"number"`
	OrderID string `json:"order"`
	// Incarnation is the only one of the engine that the copy can reach.
	Incarnation string `json:"incarnation"`
	// Sender is the incarnation of the daemon that may send the copy.
	Sender string `json:"sender"`
}

// EngineState is what the stream says about one engine.
type EngineState struct {
	Engine string `json:"engine"`
	// Drain is the offset of the open drain plus 1, 0 for none.
	Drain   int64    `json:"drain,omitempty"`
	Pending *Pending `json:"pending,omitempty"`
	// Copies may still take effect, oldest first. All are of one order. The slice
	// is never changed in place.
	Copies []Copy `json:"copies,omitempty"`
	// Refusals are changes whose orders were withdrawn, the newest last.
	Refusals []Refusal `json:"refusals,omitempty"`
}

// Changing tells whether a drain or an order is open.
func (e EngineState) Changing() bool { return e.Drain > 0 || e.Pending != nil }

// Open tells whether an order is open or may still arrive.
func (e EngineState) Open() bool { return e.Changing() || len(e.Copies) > 0 }

func (e EngineState) settled() bool { return !e.Open() && len(e.Refusals) == 0 }

// Checkpoint is the result of all records below an offset.
type Checkpoint struct {
	Covers  int64         `json:"covers"`
	Lease   lease.Lease   `json:"lease"`
	Engines []EngineState `json:"engines,omitempty"`
	// LastLoad is when the last order to load a model was announced.
	LastLoad time.Time `json:"last_load,omitzero"`
}

// State applies records of a control stream in offset order. It is not safe for
// concurrent use.
type State struct {
	replay.Cursor
	// Lease holds the lease and this daemon's timing of it.
	Lease *lease.Machine

	engines  map[string]EngineState
	lastLoad time.Time
}

// NewState returns a State that expects offset 0 next.
func NewState(opts lease.Options) *State {
	return &State{Lease: lease.NewMachine(opts), engines: map[string]EngineState{}}
}

// Engine returns what the stream says about an engine.
func (s *State) Engine(id string) EngineState {
	e := s.engines[id]
	e.Engine = id
	return e
}

// Engines returns all engines with a drain, a pending order, an open copy or a
// refusal.
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

// Checkpoint returns the result of all records below Next.
func (s *State) Checkpoint() *Checkpoint {
	return &Checkpoint{Covers: s.Next(), Lease: s.Lease.Lease(), Engines: s.Engines(), LastLoad: s.lastLoad}
}

// Restore takes over a checkpoint, read at time now, if that takes the state
// forward.
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

// Apply applies a record read at time now and tells whether it was accepted.
// Records that do not follow the last one applied are ignored, except that a
// recovering state takes over a checkpoint.
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
	e, accepted := s.decide(rec, r)
	if accepted {
		s.store(e)
		if r.Kind == KindOutcome {
			s.forgetRefusals(rec.Time)
		}
		s.noteLoad(r, rec.Time)
	}
	return accepted
}

func (s *State) store(e EngineState) {
	if e.settled() {
		delete(s.engines, e.Engine)
		return
	}
	s.engines[e.Engine] = e
}

// forgetRefusals drops old refusals, also those of engines that have left.
func (s *State) forgetRefusals(now time.Time) {
	for _, e := range s.engines {
		e.Refusals = slices.DeleteFunc(slices.Clone(e.Refusals), func(r Refusal) bool {
			return now.Sub(r.At) >= refusalKept
		})
		s.store(e)
	}
}

func (s *State) noteLoad(r Record, at time.Time) {
	if r.Kind == KindOrder && r.Order.Kind == port.OrderLoadModel {
		s.lastLoad = at
	}
}

// decide returns an engine's state after a record, and whether the record was
// accepted. Only the holder's records have effect, with one exception: an
// incarnation may always tell what became of a copy that it sent.
func (s *State) decide(rec port.Record, r Record) (EngineState, bool) {
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
		e.Copies, e.Refusals = e.copiesAfter(r), e.afterOutcome(r, rec.Time)
		e.Pending = nil
	default:
		return e, false
	}
	return e, true
}

// mayOrder tells whether an order may follow. While a copy of an earlier order
// may still take effect, it must not meet a different one.
func (e EngineState) mayOrder(r Record) bool {
	return r.Order != nil && e.Drain > 0 && e.Pending == nil && len(e.Copies) == 0
}

func (e EngineState) maySend(r Record) bool {
	p := e.Pending
	return p != nil && p.Unfenced && p.Order.ID == r.OrderID && len(e.Copies) < maxCopies
}

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

// copiesAfter returns the copies that may still arrive after an outcome. An order
// that was carried out by an incarnation accounts for one copy to it, which is the
// answered one if there is one.
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
