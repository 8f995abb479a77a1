package order

import (
	"encoding/json"
	"errors"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"bergamotsill.example/bergamotsill/internal/lease"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/standin"
)

const testEngine = "engine-0"

// stream applies records to a state as their log would order them.
type stream struct {
	state *State
	next  int64
}

func (l *stream) append(r Record) bool {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	offset := l.next
	l.next++
	return l.state.Apply(port.Record{Offset: offset, ID: strconv.FormatInt(offset, 10), Data: data, Time: time.Now()}, 0)
}

// write appends a record of an engine by a holder.
func (l *stream) write(kind lease.Kind, holder string, fencing int64, change func(*Record)) bool {
	r := Record{Record: lease.Record{Kind: kind, Holder: holder, Fencing: fencing}, Engine: testEngine}
	if change != nil {
		change(&r)
	}
	return l.append(r)
}

func (l *stream) claim(holder string) int64 {
	l.append(Record{Record: lease.Record{Kind: lease.KindClaim, Holder: holder, Supersedes: l.state.Lease.Lease().LastRecord}})
	return l.state.Lease.Lease().Fencing
}

var testOrder = port.Order{ID: "o1", Kind: port.OrderLoadModel, Model: "m", Version: "v1"}

// pending returns a stream on which the holder "old" has announced testOrder.
func pending() (*stream, int64) {
	l := &stream{state: NewState(lease.Options{Holder: "new", Daemon: "new"})}
	fencing := l.claim("old")
	l.write(KindDrain, "old", fencing, nil)
	l.write(KindOrder, "old", fencing, func(r *Record) { r.Order = &testOrder })
	return l, fencing
}

// Guards against an order that a holder announces after it has lost its authority:
// its record is late on the log, or it has never held the lease.
func TestRecordsWithoutAuthorityHaveNoEffect(t *testing.T) {
	l := &stream{state: NewState(lease.Options{})}
	old := l.claim("old")
	fencing := l.claim("new")
	if l.write(KindDrain, "old", old, nil) || l.write(KindDrain, "old", fencing, nil) || l.write(KindDrain, "", 0, nil) {
		t.Error("a drain without authority was accepted")
	}
	if !l.write(KindDrain, "new", fencing, nil) {
		t.Fatal("the holder's drain was not accepted")
	}
	order := func(r *Record) { r.Order = &testOrder }
	if l.write(KindOrder, "old", old, order) || l.write(KindOrder, "old", fencing, order) {
		t.Error("an order without authority was accepted")
	}
	if l.state.Engine(testEngine).Pending != nil || !l.write(KindOrder, "new", fencing, order) {
		t.Error("the holder's order was not accepted")
	}
	if l.write(KindOutcome, "old", old, func(r *Record) { r.OrderID, r.Outcome = testOrder.ID, OutcomeDone }) {
		t.Error("an outcome without authority was accepted")
	}
}

// Guards against an order that an old holder sends after its pause, when the new
// holder has adopted it and the engine has restarted since: an engine that forgets
// its last order then knows the copy by its fencing number only.
func TestTakeoverRaisesFencingOfFinishedOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := standin.NewEngine(standin.EngineOptions{Name: testEngine, ChecksFencing: true, ChangeTime: time.Second})
		engine.SetFaults(standin.EngineFaults{ForgetOrder: true})
		l, _ := pending()
		paused := testOrder
		paused.Fencing = l.state.Engine(testEngine).Pending.Token
		if _, err := engine.Execute(paused); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		l.claim("new")
		ids := 0
		c := NewController(lease.Options{Holder: "new", Daemon: "new"}, nil, func() string { ids++; return strconv.Itoa(ids) })
		for range 10 {
			settleStep(t, c, l, engine)
		}
		if l.state.Engine(testEngine).Changing() {
			t.Fatal("the new holder did not settle the order")
		}
		engine.Crash()
		if _, err := engine.Execute(paused); !errors.Is(err, port.ErrStaleFencing) {
			t.Errorf("the old holder's copy got %v, want %v", err, port.ErrStaleFencing)
		}
	})
}

// settleStep lets a controller take one step before an engine without work.
func settleStep(t *testing.T, c *Controller, l *stream, engine *standin.Engine) {
	v := View{
		Input: Input{Now: time.Now(), Engines: []Engine{{
			VM: port.VM{ID: testEngine}, Status: engine.Status(), Reachable: true, Changing: true,
		}}},
		DrainAcknowledged: func(string) bool { return true },
		EngineGone:        func(string) bool { return false },
	}
	action := c.Next(l.state, v)
	switch action.Kind {
	case ActAppend:
		for _, r := range action.Records {
			l.append(r)
		}
	case ActRaiseFencing:
		if _, err := engine.Execute(action.Order); err != nil {
			t.Fatal(err)
		}
		c.FencingConfirmed(action.Engine, action.Order.Fencing)
	case ActSend:
		_, err := engine.Execute(action.Order)
		c.RecordSend(action, CopyAccepted, "")
		if err != nil {
			t.Fatal(err)
		}
	}
}
