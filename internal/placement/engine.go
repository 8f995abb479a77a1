package placement

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// Urgencies are the classes in which requests wait at an engine; lower ones go first.
const (
	// UrgencyLate is the class of requests that will miss their objective wherever
	// they run. They must not delay those that can meet it.
	UrgencyLate = 3
	// Urgencies is the number of classes.
	Urgencies = 4
)

const (
	// peerSilence is the age after which what a peer told is no longer believed.
	peerSilence = 2 * time.Second
	// suspectFirst is how long a runner is avoided after a failure; it doubles with
	// each further one up to suspectMost.
	suspectFirst = 300 * time.Millisecond
	suspectMost  = 4 * time.Second
	// forgiveAfter is the number of successes that clear the failures of a runner.
	forgiveAfter = 3
)

// Load is the work in flight at a runner.
type Load struct {
	// Begun is the rest of the prompt that is being read. Engines finish it before more
	// urgent ones.
	Begun time.Duration
	// Reading is the predicted time to read the waiting prompts, by urgency.
	Reading [Urgencies]time.Duration
	// Running is the number of requests, KVTokens the memory that they take.
	Running  int
	KVTokens int
}

func (l *Load) add(o Load) {
	l.Begun += o.Begun
	for i := range l.Reading {
		l.Reading[i] += o.Reading[i]
	}
	l.Running += o.Running
	l.KVTokens += o.KVTokens
}

// member is one runner and what is known of it. The fleet's lock guards it.
type member struct {
	runner port.Runner
	limits *port.EngineLimits
	rate   float64
	cache  partCache
	hash   uint64
	// outside is set while the runner belongs to another cell.
	outside bool

	work map[*Work]struct{}
	// current is the work whose prompt the runner is taken to read, since progressed.
	current    *Work
	progressed time.Time
	peers      map[string]peerLoad

	failures     int
	successes    int
	suspectUntil time.Time
	// leaving is set when the runner refused this daemon as another instance.
	leaving bool
	// dirty is set while peers have not been told of the newest load.
	dirty bool
	// readParts are parts that peers have not been told of, firstParts those of prompts of
	// which no engine of this data centre had read all.
	readParts  []port.PromptPart
	firstParts []port.PromptPart
}

type peerLoad struct {
	load Load
	at   time.Time
}

func newMember(r port.Runner, limits *port.EngineLimits) *member {
	m := &member{runner: r, limits: limits, hash: hashOf(r.ID), work: map[*Work]struct{}{}, peers: map[string]peerLoad{}}
	m.resetRate()
	if limits != nil {
		m.cache.capacity = int(float64(limits.KVTokens) * cacheShare)
	}
	return m
}

func (m *member) resetRate() {
	m.rate = defaultDecodeRate
	if m.runner.Role == port.RolePrefill {
		m.rate = defaultPrefillRate
	}
}

// update takes in a newer entry of the runner.
func (m *member) update(r port.Runner) {
	restarted := r.StartedMS != m.runner.StartedMS
	changed := r.Role != m.runner.Role
	m.runner = r
	if restarted {
		m.cache.clear()
		m.failures, m.successes = 0, 0
		m.suspectUntil = time.Time{}
		m.leaving = false
	}
	if changed || restarted {
		m.resetRate()
	}
}

// own returns the load that this daemon caused, less what was read since.
func (m *member) own(now time.Time) Load {
	var l Load
	for w := range m.work {
		l.Running++
		l.KVTokens += w.kvTokens
		switch {
		case w.read:
		case w == m.current:
			l.Begun += w.reading
		default:
			l.Reading[w.urgency] += w.reading
		}
	}
	return l.readFor(now.Sub(m.progressed))
}

// readNext notes the work whose prompt the runner reads next: the most urgent one, and
// the one that was sent first among several.
func (m *member) readNext(now time.Time) {
	m.progressed = now
	m.current = nil
	for w := range m.work {
		if w.read {
			continue
		}
		if c := m.current; c == nil || w.urgency < c.urgency || w.urgency == c.urgency && w.order < c.order {
			m.current = w
		}
	}
}

// readFor takes off what an engine reads within a time, the most urgent first.
func (l Load) readFor(d time.Duration) Load {
	begun := min(max(0, d), l.Begun)
	l.Begun -= begun
	d -= begun
	for i := range l.Reading {
		read := min(max(0, d), l.Reading[i])
		l.Reading[i] -= read
		d -= read
	}
	return l
}

// load returns the whole load: this daemon's and what peers told.
func (m *member) load(now time.Time) Load {
	l := m.own(now)
	for name, p := range m.peers {
		age := now.Sub(p.at)
		if age > peerSilence {
			delete(m.peers, name)
			continue
		}
		l.add(p.load.readFor(age))
	}
	return l
}

// wait returns how long a new request of an urgency waits for its reading to begin.
func (l *Load) wait(urgency int) time.Duration {
	total := l.Begun
	for i := 0; i <= urgency; i++ {
		total += l.Reading[i]
	}
	return total
}

// full tells whether slots or memory are taken.
func (m *member) full(l *Load, tokens int) bool {
	if l.Running >= m.runner.Slots {
		return true
	}
	return m.limits != nil && float64(l.KVTokens+tokens) > memoryLimit*float64(m.limits.KVTokens)
}

// usable tells whether the runner may get new requests.
func (m *member) usable(now time.Time) bool {
	return !m.runner.Draining && !m.leaving && !now.Before(m.suspectUntil)
}

func (m *member) failed(now time.Time) {
	m.failures++
	m.successes = 0
	pause := suspectFirst << min(m.failures-1, 8)
	m.suspectUntil = now.Add(min(pause, suspectMost))
}

func (m *member) succeeded() {
	m.successes++
	if m.successes >= forgiveAfter {
		m.failures = 0
	}
}
