package continuity

import "time"

// Origin is where a stream began: the service and the software version of the runner that generated
// its first event.
type Origin struct {
	Service string `json:"service"`
	Version string `json:"version"`
}

// Origins remembers where streams began, by the id of the client attempt that received the first event.
// It forgets a stream after its lifetime, and the oldest streams if there are too many.
type Origins struct {
	limit    int
	lifetime time.Duration
	streams  map[string]knownOrigin
	// order holds the ids in the order in which they were recorded.
	order []recordedID
}

type knownOrigin struct {
	origin Origin
	at     time.Time
}

type recordedID struct {
	id string
	at time.Time
}

// NewOrigins returns an empty memory of at most limit streams, which forgets each after lifetime.
func NewOrigins(limit int, lifetime time.Duration) *Origins {
	return &Origins{limit: limit, lifetime: lifetime, streams: map[string]knownOrigin{}}
}

// Record records where the stream of a client attempt began, at the time at. It reports whether that is
// news: the first origin that is recorded for an id stays.
func (o *Origins) Record(now time.Time, id string, origin Origin, at time.Time) bool {
	o.forget(now)
	if _, ok := o.streams[id]; ok || now.Sub(at) >= o.lifetime {
		return false
	}
	for len(o.streams) >= o.limit && len(o.order) > 0 {
		o.dropOldest()
	}
	o.streams[id] = knownOrigin{origin: origin, at: at}
	o.order = append(o.order, recordedID{id: id, at: at})
	return true
}

// Find returns where the stream of a client attempt began, if that is known.
func (o *Origins) Find(now time.Time, id string) (Origin, bool) {
	o.forget(now)
	known, ok := o.streams[id]
	if !ok || now.Sub(known.at) >= o.lifetime {
		return Origin{}, false
	}
	return known.origin, true
}

// Size returns the number of streams that are remembered.
func (o *Origins) Size() int { return len(o.streams) }

// forget drops the streams at the front of the order whose lifetime has passed. Records of peers arrive
// late, so that the order is only nearly that of the times.
func (o *Origins) forget(now time.Time) {
	for len(o.order) > 0 && now.Sub(o.order[0].at) >= o.lifetime {
		o.dropOldest()
	}
}

func (o *Origins) dropOldest() {
	first := o.order[0]
	o.order = o.order[1:]
	delete(o.streams, first.id)
}
