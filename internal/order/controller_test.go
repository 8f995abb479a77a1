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

// stream assigns consecutive offsets to records and applies them to a state.
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

// appendAs appends a record about testEngine by a holder.
func (l *stream) appendAs(kind lease.Kind, holder string, fencing int64, change func(*Record)) bool {
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

// streamWithPendingOrder returns a stream on which the holder "old" has announced testOrder.
func streamWithPendingOrder() (*stream, int64) {
	l := &stream{state: NewState(lease.Options{Holder: "new", Daemon: "new"})}
	fencing := l.claim("old")
	l.appendAs(KindDrain, "old", fencing, nil)
	l.appendAs(KindOrder, "old", fencing, func(r *Record) { r.Order = &testOrder })
	return l, fencing
}

// Guards against accepting an order or drain of a daemon that does not hold the lease:
// its record reaches the log after it lost the lease, or it never held it.
func TestRecordsWithoutAuthorityHaveNoEffect(t *testing.T) {
	l := &stream{state: NewState(lease.Options{})}
	old := l.claim("old")
	fencing := l.claim("new")
	if l.appendAs(KindDrain, "old", old, nil) || l.appendAs(KindDrain, "old", fencing, nil) || l.appendAs(KindDrain, "", 0, nil) {
		t.Error("a drain without authority was accepted")
	}
	if !l.appendAs(KindDrain, "new", fencing, nil) {
		t.Fatal("the holder's drain was not accepted")
	}
	order := func(r *Record) { r.Order = &testOrder }
	if l.appendAs(KindOrder, "old", old, order) || l.appendAs(KindOrder, "old", fencing, order) {
		t.Error("an order without authority was accepted")
	}
	if l.state.Engine(testEngine).Pending != nil || !l.appendAs(KindOrder, "new", fencing, order) {
		t.Error("the holder's order was not accepted")
	}
	if l.appendAs(KindOutcome, "old", old, func(r *Record) { r.OrderID, r.Outcome = testOrder.ID, OutcomeDone }) {
		t.Error("an outcome without authority was accepted")
	}
}

// Guards against a repeated execution of an order that a paused old holder sends late,
// after the new holder has settled it and the engine has restarted. An engine that does
// not keep its last order across a restart can refuse the copy only by its fencing
// token.
func TestTakeoverRaisesFencingOfFinishedOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := standin.NewEngine(standin.EngineOptions{Name: testEngine, ChecksFencing: true, ChangeTime: time.Second})
		engine.SetFaults(standin.EngineFaults{ForgetOrder: true})
		l, _ := streamWithPendingOrder()
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

// settleStep executes the controller's next action against an engine without requests.
func settleStep(t *testing.T, c *Controller, l *stream, engine *standin.Engine) {
	v := View{
		Input: Input{Now: time.Now(), Engines: []Engine{{
			VM: port.VM{ID: testEngine}, Status: engine.Status(), Reachable: true, Changing: true,
		}}},
		DrainAcknowledged: func(string) bool { return true },
		EngineLeft:        func(string) bool { return false },
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
