package bench

import (
	"slices"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// Timing and sizes of a simulated engine. Each step prefills a chunk of prompt tokens
// and generates one token for each running request. The fixed part of a step,
// stepBase, is the time to read the weights; a larger batch amortises it.
// engineKVTokens and cacheTokens are the sizes of the KV cache and the prefix cache in
// tokens, maxBatch is in requests, and reportedRate is the capacity that an engine
// reports, in tokens per second.
const (
	stepBase           = 12 * time.Millisecond
	stepPerSequence    = 200 * time.Microsecond
	stepPerPromptToken = 100 * time.Microsecond
	engineKVTokens     = 120_000
	cacheTokens        = 60_000
	maxBatch           = 128
	reportedRate       = 6000
	roleChangeTime     = 20 * time.Second
	remoteTransport    = 5 * time.Millisecond
)

// prefillChunkTokens is the number of prompt tokens prefilled per step. A larger chunk
// prefills prompts faster but delays the tokens of running requests.
var prefillChunkTokens = map[port.Role]int{
	port.RoleMixed:   256,
	port.RolePrefill: 1024,
	port.RoleDecode:  64,
}

// job is one attempt at a request on an engine.
type job struct {
	request  *request
	priority int
	// prefillLeft is the number of tokens that are left to prefill.
	prefillLeft int
	// reservedTokens is the KV cache reserved for the whole prompt and output.
	reservedTokens int
	started        bool
	// generated is the number of output tokens so far.
	generated int
	engine    *engine
	// sent is when the daemon sent the attempt, and firstTokenAt is when the engine
	// generated its first token.
	sent         time.Duration
	firstTokenAt time.Duration
	onEnd        func(ok bool)
	onFirstToken func()
}

// engine is a simulated engine with continuous batching and a prefix cache.
type engine struct {
	clock     *clock
	id        string
	dc        int
	role      port.Role
	phase     port.Phase
	roleSince time.Duration
	// draining is set while the engine finishes its attempts and receives no new work.
	draining bool
	// replacing is set while the engine is drained in order to be replaced.
	replacing bool
	// down is set after a crash until the engine serves again.
	down bool
	// stepping is set while a step is scheduled.
	stepping bool
	// incarnation counts the crashes. A step of an earlier incarnation has no effect.
	incarnation int

	// queue holds the attempts that are not in the batch, by priority.
	queue          [3][]*job
	prefilling     []*job
	decoding       []*job
	reservedTokens int
	prefixes       *prefixCache[int]
}

func newEngine(c *clock, id string, dc int) *engine {
	return &engine{
		clock: c, id: id, dc: dc, role: port.RoleMixed, phase: port.PhaseServing,
		prefixes: newPrefixCache[int](cacheTokens),
	}
}

func (e *engine) serving() bool {
	return !e.down && e.phase == port.PhaseServing
}

// submit queues an attempt. If the engine is not serving, the attempt fails after
// 1 ms.
func (e *engine) submit(j *job) {
	if !e.serving() {
		e.clock.after(time.Millisecond, func() { j.onEnd(false) })
		return
	}
	e.queue[j.priority] = append(e.queue[j.priority], j)
	e.startStepping()
}

// startStepping schedules the first step of an engine that has no step scheduled.
func (e *engine) startStepping() {
	if e.stepping || !e.serving() {
		return
	}
	e.stepping = true
	e.step()
}

// step schedules the next step, which takes effect when its duration has passed. If
// there is no work, it schedules none, and startStepping continues later.
func (e *engine) step() {
	e.admit()
	chunk := prefillChunkTokens[e.role]
	remaining := chunk
	for _, j := range e.prefilling {
		remaining -= min(remaining, j.prefillLeft)
	}
	prefilled := chunk - remaining
	if prefilled == 0 && len(e.decoding) == 0 && len(e.prefilling) == 0 {
		e.stepping = false
		return
	}
	duration := stepBase + time.Duration(len(e.decoding))*stepPerSequence + time.Duration(prefilled)*stepPerPromptToken
	incarnation := e.incarnation
	e.clock.after(duration, func() {
		if e.incarnation == incarnation {
			e.finishStep(prefilled)
			e.step()
		}
	})
}

// admit moves attempts from the queue into the batch by priority, as long as less than
// one chunk is left to prefill for attempts of the same or a more urgent priority. A
// long prompt in prefill therefore does not block a more urgent one. It stops at the
// first attempt that does not fit into the batch or the KV cache.
func (e *engine) admit() {
	pendingPrefill := 0
	for p := range e.queue {
		for _, j := range e.prefilling {
			if j.priority == p {
				pendingPrefill += j.prefillLeft
			}
		}
		for len(e.queue[p]) > 0 && pendingPrefill < prefillChunkTokens[e.role] {
			j := e.queue[p][0]
			need := j.request.prompt + j.request.output
			if len(e.decoding)+len(e.prefilling) >= maxBatch || e.reservedTokens+need > engineKVTokens {
				return
			}
			e.queue[p] = e.queue[p][1:]
			e.startPrefill(j, need)
			pendingPrefill += j.prefillLeft
		}
	}
}

// startPrefill reserves need tokens of KV cache for an attempt and adds it to the batch.
// A cached prefix of its prompt needs no prefill.
func (e *engine) startPrefill(j *job, need int) {
	j.reservedTokens, j.started = need, true
	e.reservedTokens += need
	j.prefillLeft = j.request.prompt + j.generated
	if e.prefixes.use(j.request.prefix) {
		j.prefillLeft = max(1, j.prefillLeft-j.request.prefixTokens)
	}
	e.prefilling = append(e.prefilling, j)
	slices.SortStableFunc(e.prefilling, func(a, b *job) int { return a.priority - b.priority })
}

// finishStep applies the result of a step that prefilled the given number of prompt
// tokens. The fixed time of the step is divided among the decoding requests.
func (e *engine) finishStep(prefilled int) {
	perSequence := stepPerSequence
	if n := len(e.decoding); n > 0 {
		perSequence += stepBase / time.Duration(n)
	}
	kept := e.decoding[:0]
	for _, j := range e.decoding {
		j.generated++
		j.request.engineTime += perSequence
		j.request.engineTokens++
		if j.generated >= j.request.output {
			e.finish(j)
			continue
		}
		kept = append(kept, j)
	}
	e.decoding = kept
	e.advancePrefill(prefilled)
}

func (e *engine) advancePrefill(prefilled int) {
	kept := e.prefilling[:0]
	for _, j := range e.prefilling {
		part := min(prefilled, j.prefillLeft)
		prefilled -= part
		j.prefillLeft -= part
		j.request.engineTokens += part
		j.request.engineTime += time.Duration(part) * stepPerPromptToken
		if j.prefillLeft > 0 {
			kept = append(kept, j)
			continue
		}
		e.firstToken(j)
	}
	e.prefilling = kept
}

// firstToken generates the first token of an attempt whose prefill has ended.
func (e *engine) firstToken(j *job) {
	e.cachePrefix(j.request)
	j.generated++
	j.firstTokenAt = e.clock.now
	j.onFirstToken()
	if j.generated >= j.request.output {
		e.finish(j)
		return
	}
	e.decoding = append(e.decoding, j)
}

// cachePrefix stores the prefix of a prefilled prompt. Prefix 0 means that there is none.
func (e *engine) cachePrefix(r *request) {
	if r.prefix > 0 {
		e.prefixes.add(r.prefix, r.prefixTokens)
	}
}

func (e *engine) finish(j *job) {
	e.reservedTokens -= j.reservedTokens
	j.onEnd(true)
}

// attempts returns the number of attempts on the engine.
func (e *engine) attempts() int {
	n := len(e.prefilling) + len(e.decoding)
	for p := range e.queue {
		n += len(e.queue[p])
	}
	return n
}

// crash fails all attempts and clears the prefix cache. The engine serves again after
// downFor.
func (e *engine) crash(downFor time.Duration) {
	e.incarnation++
	e.down, e.stepping = true, false
	lost := append(e.prefilling, e.decoding...)
	for p := range e.queue {
		lost = append(lost, e.queue[p]...)
		e.queue[p] = nil
	}
	e.prefilling, e.decoding, e.reservedTokens = nil, nil, 0
	e.clearCache()
	for _, j := range lost {
		j.onEnd(false)
	}
	e.clock.after(downFor, func() { e.down = false })
}

func (e *engine) clearCache() {
	e.prefixes = newPrefixCache[int](cacheTokens)
}

// replace replaces a drained engine with a new one, whose prefix cache is empty.
func (e *engine) replace() {
	e.clearCache()
	e.draining = false
}

// changeRole drains the engine, changes its role and then calls done.
func (e *engine) changeRole(role port.Role, done func()) {
	e.draining = true
	var poll func()
	poll = func() {
		if e.attempts() > 0 {
			e.clock.after(100*time.Millisecond, poll)
			return
		}
		e.phase = port.PhaseChanging
		e.clock.after(roleChangeTime, func() {
			e.role, e.phase, e.draining, e.roleSince = role, port.PhaseServing, e.replacing, e.clock.now
			done()
		})
	}
	poll()
}

// status returns the status that the engine reports.
func (e *engine) status() port.EngineStatus {
	s := port.EngineStatus{
		Engine: e.id, Model: model, Role: e.role, Phase: e.phase, Time: e.clock.Time(),
		Running: len(e.decoding) + len(e.prefilling), KVUsed: int64(e.reservedTokens), KVCapacity: engineKVTokens, Capacity: reportedRate,
	}
	for p := range e.queue {
		s.Queued += len(e.queue[p])
		for _, j := range e.queue[p] {
			s.QueuedPrefillTokens += int64(j.request.prompt)
		}
	}
	for _, j := range e.prefilling {
		s.QueuedPrefillTokens += int64(j.prefillLeft)
	}
	return s
}
