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
	// peerTimeout is the age after which what a peer told is no longer believed.
	peerTimeout = 2 * time.Second
	// minSuspectTime is how long a runner is avoided after a failure; it doubles with
	// each further one up to suspectMost.
	minSuspectTime = 300 * time.Millisecond
	maxSuspectTime = 4 * time.Second
	// resetAfterSuccesses is the number of successes that clear the failures of a runner.
	resetAfterSuccesses = 3
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
	l.limitGap(o.AllowedGap)
}

// setCurrent takes the prompt that the engine is reading out of those that wait. It has been
// reading it since the last prompt was read, at most.
func (l *Load) setCurrent(o Load, now, progressed time.Time) {
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

// limitGap takes in the allowed pause of a stream.
func (l *Load) limitGap(gap time.Duration) {
	if gap > 0 && (l.AllowedGap == 0 || gap < l.AllowedGap) {
		l.AllowedGap = gap
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
	// inOtherCell is set while the runner belongs to another cell.
	inOtherCell bool

	inFlight map[*InFlightRequest]struct{}
	// current is the work whose prompt comes first among those of this daemon, since
	// currentAt. progressed is when any daemon's prompt was last known to be read.
	current      *InFlightRequest
	currentSince time.Time
	lastProgress time.Time
	// totalPrefill is what this daemon had totalPrefill here, and readByAll what all daemons had since
	// this one knows the runner; see Load.Read.
	totalPrefill      time.Duration
	totalPrefillOfAll time.Duration
	// recent is what this daemon had read here, as of recentAt.
	recent   time.Duration
	recentAt time.Time
	peers    map[string]peerLoad

	failures     int
	successes    int
	suspectUntil time.Time
	// leaving is set when the runner refused this daemon as another instance.
	leaving bool
	// pendingRole is the role that the runner was ordered to take, or empty. It gets no
	// requests until it has the role, or until changedBy.
	pendingRole    port.Role
	changeDeadline time.Time
	// orderedLocally is set when this daemon sent the order.
	orderedLocally bool
	// unansweredUntil is the time up to which an order without an answer may be carried out.
	unansweredUntil time.Time
	// roleChangedAt is when this daemon last ordered the runner to change its role, or zero.
	roleChangedAt time.Time
	// dirty is set while peers have not been told of the newest load.
	dirty bool
	// newParts are parts that peers have not been told of, firstParts those of prompts of
	// which no engine of this data centre had read all.
	newParts             []port.PromptPart
	partsNewInDataCentre []port.PromptPart
}

type peerLoad struct {
	load       Load
	receivedAt time.Time
}

// models are what a fleet has learnt of the engines of a service.
type models struct {
	prefill, decode *prefillModel
	gaps            *gapModel
}

func newModels() models {
	return models{prefill: newPrefillModel(port.RolePrefill), decode: newPrefillModel(port.RoleDecode), gaps: newGapModel()}
}

func newMember(daemon string, r port.Runner, limits *port.EngineLimits, serviceModels models) *member {
	m := &member{
		runner: r, limits: limits, hash: hashOf(r.ID), models: serviceModels, speed: 1,
		affinity: float64(hashOf(daemon+" "+r.ID)>>11) / (1 << 53),
		inFlight: map[*InFlightRequest]struct{}{}, peers: map[string]peerLoad{},
	}
	if limits != nil {
		m.cache.capacity = int64(float64(limits.KVTokens) * cacheCapacityShare)
	}
	return m
}

// prefillModel returns the model of the engine's role.
func (m *member) prefillModel() *prefillModel {
	if m.runner.Role == port.RolePrefill {
		return m.models.prefill
	}
	return m.models.decode
}

// prefillTime predicts the reading of unread tokens at the end of a context.
func (m *member) prefillTime(uncached, context int) time.Duration {
	return time.Duration(float64(m.prefillModel().time(uncached, context)) / m.speed)
}

// update takes in a newer entry of the runner.
func (m *member) update(r port.Runner) {
	restarted := r.StartedMS != m.runner.StartedMS
	roleChanged := r.Role != m.runner.Role
	m.runner = r
	if restarted {
		m.cache.clear()
		m.failures, m.successes = 0, 0
		m.suspectUntil = time.Time{}
		m.leaving = false
	}
	if roleChanged || restarted {
		m.speed = 1
		m.pendingRole = ""
	}
}

// localLoad returns the load that this daemon caused.
func (m *member) localLoad(now time.Time) Load {
	var l Load
	for r := range m.inFlight {
		l.Running++
		l.KVTokens += r.kvTokens
		if r.onTime {
			l.OnTimeStreams++
			l.limitGap(r.allowedGap)
		}
		switch {
		case r.prefilled:
		case r == m.current:
			l.CurrentPrefill, l.CurrentUrgency, l.CurrentSince = r.prefillTime, r.urgency, m.currentSince
		default:
			l.QueuedPrefill[r.urgency] += r.prefillTime
		}
	}
	l.RecentPrefill = m.recentPrefill(now)
	l.TotalPrefill, l.TotalKVStored = m.totalPrefill, m.cache.storedLocally
	return l
}

// recentPrefill returns what this daemon had read here, as far as it falls into the
// present pause of a stream: that begins at most one usual pause ago.
func (m *member) recentPrefill(now time.Time) time.Duration {
	return decayPrefill(m.recent, now.Sub(m.recentAt), m.models.gaps.idleGap)
}

// decayPrefill lets a reading fall out of the present pause within a usual one.
func decayPrefill(prefill, age, period time.Duration) time.Duration {
	if age >= period {
		return 0
	}
	return time.Duration(float64(prefill) * (1 - float64(max(0, age))/float64(period)))
}

// recordPrefill notes a reading that has just ended.
func (m *member) recordPrefill(now time.Time, r *InFlightRequest) {
	m.recent = m.recentPrefill(now) + r.prefillTime
	m.recentAt = now
	m.lastProgress = now
	prefill := m.models.prefill.time(r.uncached, r.context)
	m.totalPrefill += prefill
	m.totalPrefillOfAll += prefill
}

// selectNextPrefill notes the work whose prompt the runner reads next: the most urgent one, and
// the one that was sent first among several.
func (m *member) selectNextPrefill(now time.Time) {
	m.currentSince = now
	m.current = nil
	for r := range m.inFlight {
		if r.prefilled {
			continue
		}
		if c := m.current; c == nil || r.urgency < c.urgency || r.urgency == c.urgency && r.sequence < c.sequence {
			m.current = r
		}
	}
}

// load returns the whole load: this daemon's and what peers told. The engine reads one
// prompt at a time: of those that come first for their daemons, the one that did so first.
func (m *member) load(now time.Time) Load {
	var l Load
	local := m.localLoad(now)
	l.add(local)
	first := local
	for name, p := range m.peers {
		age := now.Sub(p.receivedAt)
		if age > peerTimeout {
			delete(m.peers, name)
			continue
		}
		reported := p.load
		reported.RecentPrefill = decayPrefill(reported.RecentPrefill, age, m.models.gaps.idleGap)
		l.add(reported)
		if reported.CurrentPrefill > 0 && (first.CurrentPrefill == 0 || reported.CurrentSince.Before(first.CurrentSince)) {
			first = reported
		}
	}
	l.setCurrent(first, now, m.lastProgress)
	return l
}

// applyPeerLoad takes in what a peer told.
func (m *member) applyPeerLoad(peer string, reported Load, now time.Time) {
	if old, ok := m.peers[peer]; ok {
		if reported.TotalPrefill > old.load.TotalPrefill {
			m.lastProgress = now
			m.totalPrefillOfAll += reported.TotalPrefill - old.load.TotalPrefill
		}
		m.cache.stored += max(0, reported.TotalKVStored-old.load.TotalKVStored)
	}
	m.peers[peer] = peerLoad{load: reported, receivedAt: now}
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
	return m.limits != nil && float64(l.KVTokens+tokens) > kvCacheLimit*float64(m.limits.KVTokens)
}

// usable tells whether the runner may get new requests.
func (m *member) usable(now time.Time) bool {
	return !m.runner.Draining && !m.leaving && !now.Before(m.suspectUntil) && !m.changingRole(now)
}

// changingRole tells whether the runner is changing its role.
func (m *member) changingRole(now time.Time) bool {
	return m.pendingRole != "" && now.Before(m.changeDeadline)
}

func (m *member) recordFailure(now time.Time) {
	m.failures++
	m.successes = 0
	avoidance := minSuspectTime << min(m.failures-1, 8)
	m.suspectUntil = now.Add(min(avoidance, maxSuspectTime))
}

func (m *member) recordSuccess() {
	m.successes++
	if m.successes >= resetAfterSuccesses {
		m.failures = 0
	}
}
