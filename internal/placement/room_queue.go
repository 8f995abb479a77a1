package placement

import (
	"math"
	"slices"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// roomMaxAge is how long the room of a version is not counted anew for the streams that wait for it.
const roomMaxAge = 25 * time.Millisecond

// versionKey names the engines at which alone a stream that has begun can continue.
type versionKey struct{ service, version string }

// roomQueue holds the streams of this daemon that wait for room at the engines of a version, in the order of their arrival.
// New streams take these engines for full if there is no room beside those that wait: they can run elsewhere or come later.
type roomQueue struct {
	tickets []*RoomTicket
	// room is the number of streams like the one that asked last that the engines could take at countedAt, freeSlots and
	// freeTokens what is free at all of them.
	room                  int
	freeSlots, freeTokens int
	countedAt             time.Time
}

// RoomTicket is the place of a stream in the queue for room at the engines of its software version.
type RoomTicket struct {
	fleet *Fleet
	key   versionKey
}

// QueueForRoom queues a stream that has begun, whose version q names, until engines of the version have room. It returns
// false if too many wait: as many as this daemon's share of the slots of the version, which is what becomes free for its clients
// if half of the daemons are lost. The caller calls Leave once the stream runs or is given up.
func (f *Fleet) QueueForRoom(now time.Time, q Query) (*RoomTicket, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := versionKey{q.Service, q.Version}
	queue, ok := f.roomQueues[key]
	if !ok {
		queue = &roomQueue{}
	}
	if len(queue.tickets) >= f.maxRoomQueue(now, q) {
		return nil, false
	}
	t := &RoomTicket{fleet: f, key: key}
	queue.tickets = append(queue.tickets, t)
	f.roomQueues[key] = queue
	return t, true
}

// maxRoomQueue returns how many streams may wait for room at the engines of a version. The caller holds f.mu.
func (f *Fleet) maxRoomQueue(now time.Time, q Query) int {
	slots := 0
	for _, m := range f.services[q.Service] {
		if m.runner.Role != port.RolePrefill && !q.excludes(m) && f.usable(now, m) {
			slots += m.runner.Slots
		}
	}
	return (slots + f.daemons - 1) / f.daemons
}

// Admitted reports whether the engines have room for the stream and for those that wait before it.
func (t *RoomTicket) Admitted(now time.Time, q Query) bool {
	f := t.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	queue, ok := f.roomQueues[t.key]
	if !ok {
		return false
	}
	if now.Sub(queue.countedAt) >= roomMaxAge {
		f.countRoom(now, q, queue)
	}
	i := slices.Index(queue.tickets, t)
	return i >= 0 && i < queue.room
}

// Leave ends the wait. running is set if the stream now occupies a slot. Calls after the first have no effect.
func (t *RoomTicket) Leave(running bool) {
	f := t.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	queue, ok := f.roomQueues[t.key]
	if !ok {
		return
	}
	i := slices.Index(queue.tickets, t)
	if i < 0 {
		return
	}
	queue.tickets = slices.Delete(queue.tickets, i, i+1)
	if running {
		queue.room--
		queue.freeSlots--
	}
	if len(queue.tickets) == 0 {
		delete(f.roomQueues, t.key)
	}
}

// countRoom counts the room at the usable engines that can run q. The caller holds f.mu.
func (f *Fleet) countRoom(now time.Time, q Query, queue *roomQueue) {
	*queue = roomQueue{tickets: queue.tickets, countedAt: now}
	tokens := max(1, q.Prompt.InputTokens+q.Prompt.OutputTokens)
	for _, m := range f.services[q.Service] {
		if m.runner.Role == port.RolePrefill || q.excludes(m) || !f.usable(now, m) {
			continue
		}
		l := f.estimatedLoad(m, now)
		freeSlots, freeTokens := m.free(&l)
		room := min(freeSlots, freeTokens/tokens)
		if l.Running == 0 {
			// An engine that runs nothing takes one request, however large.
			room = max(1, room)
		}
		queue.room += room
		queue.freeSlots += freeSlots
		queue.freeTokens += freeTokens
	}
}

// free returns the free slots of the runner, and how many tokens its KV cache takes up to kvCacheLimit.
func (m *member) free(l *Load) (slots, tokens int) {
	slots = max(0, m.runner.Slots-l.Running)
	if m.limits == nil {
		return slots, math.MaxInt32
	}
	return slots, max(0, int(kvCacheLimit*float64(m.limits.KVTokens))-l.KVTokens)
}

// awaited reports whether an engine has no room for a new stream beside those that have begun and wait for it. The caller holds f.mu.
func (f *Fleet) awaited(m *member, q *Query) bool {
	if len(f.roomQueues) == 0 || q.Version != "" || q.Prompt == nil || m.runner.Role == port.RolePrefill {
		return false
	}
	queue, ok := f.roomQueues[versionKey{q.Service, m.runner.Version}]
	if !ok {
		return false
	}
	return min(queue.freeSlots, queue.freeTokens/max(1, q.Prompt.InputTokens+q.Prompt.OutputTokens)) <= len(queue.tickets)
}
