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
	// UrgencyCount is the number of classes.
	UrgencyCount = 4
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
	// CurrentPrefill is the predicted time to read the prompt that is being read. Engines finish it
	// before more urgent ones. In the load that one daemon caused it is the whole time of
	// the prompt that comes first among its own, with its urgency and since when it does.
	CurrentPrefill time.Duration
	CurrentUrgency int
	CurrentSince   time.Time
	// QueuedPrefill is the predicted time to read the waiting prompts, by urgency.
	QueuedPrefill [UrgencyCount]time.Duration
	// TotalPrefill is what a daemon had read since its start, as the time that prefill engines
	// take for it. It only grows, so that a change shows progress.
	TotalPrefill time.Duration
	// TotalKVStored is the number of tokens that a daemon had written into the engine's memory
	// since its start.
	TotalKVStored int64
	// Running is the number of requests, KVTokens the memory that they take.
	Running  int
	KVTokens int
	// OnTimeStreams is the number of streams that have kept their limits so far, and AllowedPause
	// the shortest pause that is too long for one of them. Recent is what was read just
	// before, as far as it falls into the present pause of a stream.
	OnTimeStreams int
	AllowedGap    time.Duration
	RecentPrefill time.Duration
}

// add counts the load that another daemon caused, as if all of its prompts waited.
func (l *Load) add(o Load) {
	l.QueuedPrefill[o.CurrentUrgency] += o.CurrentPrefill
	for i := range l.QueuedPrefill {
		l.QueuedPrefill[i] += o.QueuedPrefill[i]
	}
	l.Running += o.Running
	l.KVTokens += o.KVTokens
	l.OnTimeStreams += o.OnTimeStreams
	l.RecentPrefill += o.RecentPrefill
	l.allow(o.AllowedGap)
}

// begin takes the prompt that the engine is reading out of those that wait. It has been
// reading it since the last prompt was read, at most.
func (l *Load) begin(o Load, now, progressed time.Time) {
	if o.CurrentPrefill == 0 {
		return
	}
	since := o.CurrentSince
	if progressed.After(since) {
		since = progressed
	}
	l.QueuedPrefill[o.CurrentUrgency] -= o.CurrentPrefill
	l.CurrentPrefill = max(0, o.CurrentPrefill-max(0, now.Sub(since)))
}

// allow takes in the allowed pause of a stream.
func (l *Load) allow(pause time.Duration) {
	if pause > 0 && (l.AllowedGap == 0 || pause < l.AllowedGap) {
		l.AllowedGap = pause
	}
}

// backlog returns all that is to be read, and what was read just before.
func (l *Load) backlog() time.Duration { return l.wait(UrgencyCount-1) + l.RecentPrefill }

// member is one runner and what is known of it. The fleet's lock guards it.
type member struct {
	runner port.Runner
	limits *port.EngineLimits
	models models
	// speed is the measured speed of reading in relation to the service's model.
	speed float64
	cache partCache
	hash  uint64
	// affinity is the distance of this daemon's preference for the runner, from 0 to 1.
	affinity float64
	// outside is set while the runner belongs to another cell.
	outside bool

	work map[*InFlightRequest]struct{}
	// current is the work whose prompt comes first among those of this daemon, since
	// currentAt. progressed is when any daemon's prompt was last known to be read.
	current    *InFlightRequest
	currentAt  time.Time
	progressed time.Time
	// read is what this daemon had read here, and readByAll what all daemons had since
	// this one knows the runner; see Load.Read.
	read      time.Duration
	readByAll time.Duration
	// recent is what this daemon had read here, as of recentAt.
	recent   time.Duration
	recentAt time.Time
	peers    map[string]peerLoad

	failures     int
	successes    int
	suspectUntil time.Time
	// leaving is set when the runner refused this daemon as another instance.
	leaving bool
	// changing is the role that the runner was ordered to take, or empty. It gets no
	// requests until it has the role, or until changedBy.
	changing  port.Role
	changedBy time.Time
	// ordered is set when this daemon sent the order.
	ordered bool
	// unansweredUntil is the time up to which an order without an answer may be carried out.
	unansweredUntil time.Time
	// roleSince is when this daemon last ordered the runner to change its role, or zero.
	roleSince time.Time
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

// models are what a fleet has learnt of the engines of a service.
type models struct {
	prefill, decode *readingModel
	pauses          *pauseModel
}

func newModels() models {
	return models{prefill: newReadingModel(port.RolePrefill), decode: newReadingModel(port.RoleDecode), pauses: newPauseModel()}
}

func newMember(daemon string, r port.Runner, limits *port.EngineLimits, learnt models) *member {
	m := &member{
		runner: r, limits: limits, hash: hashOf(r.ID), models: learnt, speed: 1,
		affinity: float64(hashOf(daemon+" "+r.ID)>>11) / (1 << 53),
		work:     map[*InFlightRequest]struct{}{}, peers: map[string]peerLoad{},
	}
	if limits != nil {
		m.cache.capacity = int64(float64(limits.KVTokens) * cacheShare)
	}
	return m
}

// reading returns the model of the engine's role.
func (m *member) reading() *readingModel {
	if m.runner.Role == port.RolePrefill {
		return m.models.prefill
	}
	return m.models.decode
}

// readingTime predicts the reading of unread tokens at the end of a context.
func (m *member) readingTime(unread, context int) time.Duration {
	return time.Duration(float64(m.reading().time(unread, context)) / m.speed)
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
		m.speed = 1
		m.changing = ""
	}
}

// own returns the load that this daemon caused.
func (m *member) own(now time.Time) Load {
	var l Load
	for w := range m.work {
		l.Running++
		l.KVTokens += w.kvTokens
		if w.onTime {
			l.OnTimeStreams++
			l.allow(w.allowedPause)
		}
		switch {
		case w.read:
		case w == m.current:
			l.CurrentPrefill, l.CurrentUrgency, l.CurrentSince = w.reading, w.urgency, m.currentAt
		default:
			l.QueuedPrefill[w.urgency] += w.reading
		}
	}
	l.RecentPrefill = m.recentReading(now)
	l.TotalPrefill, l.TotalKVStored = m.read, m.cache.writtenHere
	return l
}

// recentReading returns what this daemon had read here, as far as it falls into the
// present pause of a stream: that begins at most one usual pause ago.
func (m *member) recentReading(now time.Time) time.Duration {
	return fade(m.recent, now.Sub(m.recentAt), m.models.pauses.quiet)
}

// fade lets a reading fall out of the present pause within a usual one.
func fade(reading, age, quiet time.Duration) time.Duration {
	if age >= quiet {
		return 0
	}
	return time.Duration(float64(reading) * (1 - float64(max(0, age))/float64(quiet)))
}

// noteRead notes a reading that has just ended.
func (m *member) noteRead(now time.Time, w *InFlightRequest) {
	m.recent = m.recentReading(now) + w.reading
	m.recentAt = now
	m.progressed = now
	amount := m.models.prefill.time(w.unread, w.context)
	m.read += amount
	m.readByAll += amount
}

// readNext notes the work whose prompt the runner reads next: the most urgent one, and
// the one that was sent first among several.
func (m *member) readNext(now time.Time) {
	m.currentAt = now
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

// load returns the whole load: this daemon's and what peers told. The engine reads one
// prompt at a time: of those that come first for their daemons, the one that did so first.
func (m *member) load(now time.Time) Load {
	var l Load
	own := m.own(now)
	l.add(own)
	first := own
	for name, p := range m.peers {
		age := now.Sub(p.at)
		if age > peerSilence {
			delete(m.peers, name)
			continue
		}
		told := p.load
		told.RecentPrefill = fade(told.RecentPrefill, age, m.models.pauses.quiet)
		l.add(told)
		if told.CurrentPrefill > 0 && (first.CurrentPrefill == 0 || told.CurrentSince.Before(first.CurrentSince)) {
			first = told
		}
	}
	l.begin(first, now, m.progressed)
	return l
}

// heard takes in what a peer told.
func (m *member) heard(peer string, told Load, now time.Time) {
	if old, ok := m.peers[peer]; ok {
		if told.TotalPrefill > old.load.TotalPrefill {
			m.progressed = now
			m.readByAll += told.TotalPrefill - old.load.TotalPrefill
		}
		m.cache.written += max(0, told.TotalKVStored-old.load.TotalKVStored)
	}
	m.peers[peer] = peerLoad{load: told, at: now}
}

// wait returns how long a new request of an urgency waits for its reading to begin.
func (l *Load) wait(urgency int) time.Duration {
	total := l.CurrentPrefill
	for i := 0; i <= urgency; i++ {
		total += l.QueuedPrefill[i]
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
	return !m.runner.Draining && !m.leaving && !now.Before(m.suspectUntil) && !m.away(now)
}

// away tells whether the runner is changing its role.
func (m *member) away(now time.Time) bool { return m.changing != "" && now.Before(m.changedBy) }

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
