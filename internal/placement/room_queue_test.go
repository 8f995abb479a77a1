package placement_test

import (
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
)

// newVersionFleet returns a fleet with one engine of two slots for each software version, all of whose slots but those of the last
// version are occupied by the returned requests.
func newVersionFleet(t *testing.T, versions ...string) (*placement.Fleet, []*placement.InFlightRequest) {
	t.Helper()
	f := newFleet()
	var runners []port.Runner
	for i, version := range versions {
		runners = append(runners, port.Runner{ID: version, Service: service, Address: string(rune('a'+i)) + ":80", DataCentre: "north", Role: port.RoleDecode, Slots: 2, Version: version})
	}
	f.SetRunners(runners)
	var running []*placement.InFlightRequest
	for _, version := range versions[:len(versions)-1] {
		for range 2 {
			r, ok := f.PlaceDecode(start, begunQuery(version), port.Runner{DataCentre: "north"})
			if !ok {
				t.Fatal("no engine was chosen")
			}
			running = append(running, r)
		}
	}
	return f, running
}

// begunQuery describes a stream that began at a version, or a new one if that is empty.
func begunQuery(version string) placement.Query {
	return placement.Query{Service: service, Prompt: prompt(1_000), RemainingTarget: time.Second, Objective: time.Second, ClientTimeout: 4 * time.Second, Version: version}
}

// Guards against streams that have begun and lose the slot for which they wait to a later one, or to a new stream that can run elsewhere.
func TestRoomGoesToStreamsThatHaveBegun(t *testing.T) {
	f, running := newVersionFleet(t, "v1", "v2")
	begun := begunQuery("v1")
	if got := f.Classify(start, begun, 0); !got.Saturated {
		t.Fatal("the engine of version 1 is not full")
	}
	var waiting []*placement.RoomTicket
	for range 2 {
		ticket, ok := f.QueueForRoom(start, begun)
		if !ok || ticket.Admitted(start, begun) {
			t.Fatalf("a stream does not wait for room at a full engine, queued: %t", ok)
		}
		waiting = append(waiting, ticket)
	}
	if _, ok := f.QueueForRoom(start, begun); ok {
		t.Error("more streams wait than the engine has slots")
	}
	running[0].End(start, placement.Completed)
	now := start.Add(50 * time.Millisecond)
	if waiting[1].Admitted(now, begun) || !waiting[0].Admitted(now, begun) {
		t.Error("the slot does not go to the stream that waits longest")
	}
	plan, first := place(t, f, now, begunQuery(""))
	if plan.Run == nil || first.Runner().ID != "v2" {
		t.Errorf("a new stream takes the slot at %s for which others wait", first.Runner().ID)
	}
	second, ok := f.PlaceDecode(now, begunQuery(""), port.Runner{DataCentre: "north"})
	if !ok || second.Runner().ID != "v2" {
		t.Error("a new stream whose prompt was prefilled takes the slot for which others wait")
	}
	if got := f.Classify(now, begunQuery(""), 0); got.Accepted || !got.Saturated {
		t.Error("a new stream is accepted although the only slot is awaited by others")
	}
	if got := f.Classify(now, begun, 0); !got.Saturated {
		t.Error("a stream that has begun overtakes those that wait")
	}
	if _, ok := f.PlaceDecode(now, begun, port.Runner{DataCentre: "north"}); !ok {
		t.Fatal("no engine was chosen")
	}
	waiting[0].Leave(true)
	if waiting[1].Admitted(now, begun) {
		t.Error("two streams take one slot")
	}
	running[1].End(now, placement.Completed)
	if now = now.Add(50 * time.Millisecond); !waiting[1].Admitted(now, begun) {
		t.Error("a stream does not get the slot for which it waits")
	}
	waiting[1].Leave(false)
	if got := f.Classify(now, begunQuery(""), 0); !got.Accepted {
		t.Error("a new stream is refused although no other one waits for the free slot")
	}
}

// Guards against a daemon that lets more streams wait for room than its share of the slots.
func TestRoomQueueIsBoundedByTheShareOfTheDaemon(t *testing.T) {
	f, _ := newVersionFleet(t, "v1", "v2")
	f.SetDaemons([]placement.Daemon{{Name: "daemon", DataCentre: "north"}, {Name: "other", DataCentre: "north"}})
	ticket, ok := f.QueueForRoom(start, begunQuery("v1"))
	if _, more := f.QueueForRoom(start, begunQuery("v1")); !ok || more {
		t.Errorf("with half of two slots: first stream queued %t, second one %t", ok, more)
	}
	ticket.Leave(false)
	ticket.Leave(true)
	if _, ok := f.QueueForRoom(start, begunQuery("v1")); !ok {
		t.Error("a place in the queue is not free after its stream left")
	}
}

// Guards against new streams that are refused while a large stream that has begun waits for room in the KV cache, although they would fit.
func TestLargeStreamThatWaitsDoesNotHoldUpSmallOnes(t *testing.T) {
	f, _ := newVersionFleet(t, "v1")
	if _, ok := f.PlaceDecode(start, begunQuery("v1"), port.Runner{DataCentre: "north"}); !ok {
		t.Fatal("no engine was chosen")
	}
	f.SetRunners([]port.Runner{{ID: "v1", Service: service, Address: "a:80", DataCentre: "north", Role: port.RoleDecode, Slots: 64, Version: "v1"}})
	large := begunQuery("v1")
	large.Prompt = prompt(limits.KVTokens)
	ticket, ok := f.QueueForRoom(start, large)
	if !ok || ticket.Admitted(start, large) {
		t.Fatalf("the large stream does not wait, queued: %t", ok)
	}
	if got := f.Classify(start, begunQuery(""), 0); !got.Accepted {
		t.Error("a small new stream is refused")
	}
}
