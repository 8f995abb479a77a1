package placement

import (
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/requestlimit"
)

// Urgencies are the classes in which requests queue at an engine; lower values run first.
const (
	// UrgencyLate is the class of requests that will miss their objective on every engine.
	// They must not delay requests that can still meet it.
	UrgencyLate = 3
	// UrgencyCount is the number of classes.
	UrgencyCount = 4
)

const (
	// peerTimeout is the age at which a peer's load report expires.
	peerTimeout = 2 * time.Second
	// minSuspectTime is how long a runner is avoided after a failure. The time doubles with
	// each further failure up to maxSuspectTime.
	minSuspectTime = 300 * time.Millisecond
	maxSuspectTime = 4 * time.Second
	// resetAfterSuccesses is the number of consecutive successes that reset the failure count.
	resetAfterSuccesses = 3
)

// Load is the load of the requests in flight at a runner.
type Load struct {
	// CurrentPrefill is the predicted remaining time of the prefill in progress. Engines
	// finish it before they start more urgent ones. In the load of a single daemon it is the
	// whole predicted prefill time of the prompt that the engine prefills first among those
	// of that daemon; CurrentUrgency is the urgency of this prompt, CurrentSince the time at
	// which it became the first.
	CurrentPrefill time.Duration
	CurrentUrgency int
	CurrentSince   time.Time
	// QueuedPrefill is the predicted prefill time of the queued prompts, by urgency.
	QueuedPrefill [UrgencyCount]time.Duration
	// TotalPrefill is the prefill work of a daemon's requests since the daemon started,
	// measured as the time that a prefill engine needs for it. It never decreases, so an
	// increase shows progress.
	TotalPrefill time.Duration
	// TotalKVStored is the number of tokens that a daemon's requests have stored in the
	// engine's KV cache since the daemon started.
	TotalKVStored int64
	// TotalEnded is the number of requests of a daemon that ended at the runner since the daemon
	// started, TotalFailed those of them that failed or were refused.
	TotalEnded  int64
	TotalFailed int64
	// Running is the number of requests in flight, KVTokens the KV cache space that they
	// occupy, in tokens.
	Running  int
	KVTokens int
	// OnTimeStreams is the number of streams that have met their limits so far, AllowedGap
	// the smallest limit for gaps among them. RecentPrefill is the part of the finished
	// prefills that may lengthen the current gap of a stream.
	OnTimeStreams int
	AllowedGap    time.Duration
	RecentPrefill time.Duration
}

// add adds the load of one daemon. Its current prefill is counted as queued.
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

// setCurrent moves the current prefill of o from the queue to l.CurrentPrefill, less the
// time for which it has been running. That prefill started no earlier than progressed, the
// time at which the previous one finished.
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

// limitGap lowers AllowedGap to the limit of another stream; 0 means that there is no limit.
func (l *Load) limitGap(gap time.Duration) {
	if gap > 0 && (l.AllowedGap == 0 || gap < l.AllowedGap) {
		l.AllowedGap = gap
	}
}

// backlog returns the prefill time that is outstanding or may affect the current gap.
func (l *Load) backlog() time.Duration { return l.wait(UrgencyCount-1) + l.RecentPrefill }

// member is the state of one runner, guarded by Fleet.mu.
type member struct {
	runner port.Runner
	limits *port.EngineLimits
	models models
	// speed is the measured prefill speed relative to the model of the service.
	speed float64
	cache partCache
	// hash is the sort key of the runner; see assignCells.
	hash uint64
	// affinity ranks the runner for this daemon, from 0 (preferred) to 1.
	affinity float64
	// inOtherCell is set if the runner is outside the local cell. In a divided fleet this
	// holds for all runners of other data centres.
	inOtherCell bool

	// inFlight holds the requests of this daemon at the runner.
	inFlight map[*InFlightRequest]struct{}
	// current is the request of this daemon whose prompt the runner prefills first, or nil;
	// currentSince is when it became the first. lastProgress is the latest time at which a
	// prefill of any daemon was known to have finished.
	current      *InFlightRequest
	currentSince time.Time
	lastProgress time.Time
	// lastEvent is when this daemon last received events of any stream at the runner.
	lastEvent time.Time
	// totalPrefill is the prefill work of this daemon's requests at the runner,
	// totalPrefillOfAll that of all daemons since the runner was added; see
	// Load.TotalPrefill.
	totalPrefill      time.Duration
	totalPrefillOfAll time.Duration
	// recent is the prefill time that affects the current gap, as of recentAt; this daemon's
	// requests only.
	recent   time.Duration
	recentAt time.Time
	// peers holds the last load report of each peer, by daemon name.
	peers map[string]peerLoad

	// totalEnded and totalFailed count outcomes of this daemon's requests; see Load. failureRate
	// follows from those of all daemons.
	totalEnded, totalFailed int64
	failureRate             failureRate
	// failures counts the failures since the last reset, successes the successes since the
	// last failure. The runner is avoided until suspectUntil.
	failures     int
	successes    int
	suspectUntil time.Time
	// doubtSince is the time of the last sign that the process of the entry has ended, zero while it certainly runs.
	doubtSince time.Time
	// leaving is set if the runner announced that it leaves, or refused a request because it is a
	// different instance. leavingUnreported is set until the announcement is reported to peers.
	leaving           bool
	leavingUnreported bool
	// quietUntil is the time until which the runner asked for no requests of this daemon.
	quietUntil time.Time
	// limit is the request limit of the runner; limitNews is set if peers have to learn of it.
	limit     requestlimit.Limit
	limitNews bool
	// sent is the number of requests that this daemon has sent to the runner, sentByPeers what its
	// peers last reported of theirs. deferred counts those that the limit did not allow.
	sent, deferred int64
	sentByPeers    map[string]int64
	// pendingRole is the role that the runner was ordered to take, or empty. The runner
	// receives no requests until it reports the role or changeDeadline has passed.
	pendingRole    port.Role
	changeDeadline time.Time
	// orderedLocally is set if this daemon sent the order.
	orderedLocally bool
	// unansweredUntil is the time until which an order without a response may still be
	// carried out.
	unansweredUntil time.Time
	// roleChangedAt is when this daemon last ordered a role change of the runner, or zero.
	roleChangedAt time.Time
	// dirty is set if the load has changed since it was last reported to peers.
	dirty bool
	// newParts are the shared parts that were not yet reported to peers. partsNewInDataCentre
	// are the shared parts of prompts of which at least one part was cached by no engine of
	// this data centre.
	newParts             []port.PromptPart
	partsNewInDataCentre []port.PromptPart
}

type peerLoad struct {
	load       Load
	receivedAt time.Time
}

// models are the models fitted to the engines of a service.
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
		inFlight: map[*InFlightRequest]struct{}{}, peers: map[string]peerLoad{}, sentByPeers: map[string]int64{},
	}
	if limits != nil {
		m.cache.capacity = int64(float64(limits.KVTokens) * cacheCapacityShare)
	}
	return m
}

// prefillModel returns the prefill model for the engine's role.
func (m *member) prefillModel() *prefillModel {
	if m.runner.Role == port.RolePrefill {
		return m.models.prefill
	}
	return m.models.decode
}

// prefillTime predicts the time to prefill the last uncached tokens of a prompt of context
// tokens.
func (m *member) prefillTime(uncached, context int) time.Duration {
	return time.Duration(float64(m.prefillModel().time(uncached, context)) / m.speed)
}

// update applies a newer registry entry of the runner. A restart resets the cache and the
// failures; a restart or a new role resets the speed and ends a pending role change.
func (m *member) update(r port.Runner) {
	restarted := r.StartedMS != m.runner.StartedMS
	roleChanged := r.Role != m.runner.Role
	m.runner = r
	if restarted {
		m.cache.clear()
		m.failures, m.successes = 0, 0
		m.failureRate = failureRate{}
		m.suspectUntil, m.doubtSince = time.Time{}, time.Time{}
		m.leaving, m.leavingUnreported = false, false
		m.quietUntil = time.Time{}
		m.limit = requestlimit.Limit{}
	}
	if roleChanged || restarted {
		m.speed = 1
		m.pendingRole = ""
	}
}

// localLoad returns the load of this daemon's requests.
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
	l.TotalEnded, l.TotalFailed = m.totalEnded, m.totalFailed
	return l
}

// recentPrefill returns the recent prefill time of this daemon's requests that may lengthen
// the current gap of a stream. The gap began at most one idle gap ago.
func (m *member) recentPrefill(now time.Time) time.Duration {
	return decayPrefill(m.recent, now.Sub(m.recentAt), m.models.gaps.idleGap)
}

// decayPrefill reduces a finished prefill linearly to 0 over a period.
func decayPrefill(prefill, age, period time.Duration) time.Duration {
	if age >= period {
		return 0
	}
	return time.Duration(float64(prefill) * (1 - float64(max(0, age))/float64(period)))
}

// recordPrefill records a prefill that has just finished.
func (m *member) recordPrefill(now time.Time, r *InFlightRequest) {
	m.recent = m.recentPrefill(now) + r.prefillTime
	m.recentAt = now
	m.lastProgress = now
	prefill := m.models.prefill.time(r.uncached, r.context)
	m.totalPrefill += prefill
	m.totalPrefillOfAll += prefill
}

// selectNextPrefill sets current to the prompt of this daemon that the runner prefills next:
// the most urgent one, or among equally urgent ones the one that was sent first.
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

// load returns the load of all daemons and removes expired reports of peers. The engine
// prefills one prompt at a time: of the prompts that are first for their daemons, the one
// that has been first the longest is assumed to be in prefill.
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

// applyPeerLoad stores the load that a peer reported.
func (m *member) applyPeerLoad(peer string, reported Load, now time.Time) {
	if old, ok := m.peers[peer]; ok {
		if reported.TotalPrefill > old.load.TotalPrefill {
			m.lastProgress = now
			m.totalPrefillOfAll += reported.TotalPrefill - old.load.TotalPrefill
		}
		m.cache.stored += max(0, reported.TotalKVStored-old.load.TotalKVStored)
		if ended := reported.TotalEnded - old.load.TotalEnded; ended > 0 {
			m.failureRate.observe(now, max(0, reported.TotalFailed-old.load.TotalFailed), ended)
		}
	}
	m.peers[peer] = peerLoad{load: reported, receivedAt: now}
}

// wait returns how long a new request of the given urgency waits for its prefill to start.
func (l *Load) wait(urgency int) time.Duration {
	total := l.CurrentPrefill
	for i := 0; i <= urgency; i++ {
		total += l.QueuedPrefill[i]
	}
	return total
}

// full reports whether the runner has no free slot, or whether its KV cache would be filled
// beyond kvCacheLimit by the given number of tokens.
func (m *member) full(l *Load, tokens int) bool {
	if l.Running >= m.runner.Slots {
		return true
	}
	return m.limits != nil && float64(l.KVTokens+tokens) > kvCacheLimit*float64(m.limits.KVTokens)
}

// acceptsRequests reports whether the runner may receive requests at all, apart from its limit and also
// if it is suspect.
func (m *member) acceptsRequests(now time.Time) bool {
	return !m.runner.Draining && !m.leaving && !now.Before(m.quietUntil) && !m.changingRole(now)
}

// usable reports whether the runner may receive new requests.
func (m *member) usable(now time.Time) bool {
	return m.acceptsRequests(now) && !now.Before(m.suspectUntil)
}

// changingRole reports whether the runner is changing its role.
func (m *member) changingRole(now time.Time) bool {
	return m.pendingRole != "" && now.Before(m.changeDeadline)
}

// recordOutcome counts the end of a request of this daemon.
func (m *member) recordOutcome(now time.Time, failed int64) {
	m.totalEnded++
	m.totalFailed += failed
	m.failureRate.observe(now, failed, 1)
}

// failurePenalty is the expected cost of a failure at the runner.
func (m *member) failurePenalty(now time.Time) time.Duration {
	penalty := serviceFailurePenalty
	switch m.runner.Role {
	case port.RolePrefill:
		penalty = prefillFailurePenalty
	case port.RoleDecode:
		penalty = runFailurePenalty
	}
	return time.Duration(m.failureRate.probability(now) * float64(penalty))
}

// avoid records a failure without counting it: the runner is avoided by this daemon only.
func (m *member) avoid(now time.Time) {
	m.failures++
	m.successes = 0
	avoidance := minSuspectTime << min(m.failures-1, 8)
	m.suspectUntil = now.Add(min(avoidance, maxSuspectTime))
}

// recordError records an answer that is no success. The runner responds, so that it is avoided only
// briefly; failureRate says how often it is to be used.
func (m *member) recordError(now time.Time) {
	m.recordOutcome(now, 1)
	if until := now.Add(minSuspectTime); until.After(m.suspectUntil) {
		m.suspectUntil = until
	}
}

func (m *member) recordSuccess(now time.Time) {
	m.recordOutcome(now, 0)
	m.successes++
	if m.successes >= resetAfterSuccesses {
		m.failures = 0
	}
}
