package bench

import (
	"container/list"
	"slices"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// Times of a fake engine. A step reads a chunk of prompts and produces one token
// for each running answer; its fixed part is the time to read the weights, which
// a larger batch shares.
const (
	stepBase        = 12 * time.Millisecond
	stepPerAnswer   = 200 * time.Microsecond
	stepPerPrompt   = 100 * time.Microsecond
	engineKVTokens  = 120_000
	cacheTokens     = 60_000
	maxBatch        = 128
	reportedRate    = 6000
	changeTime      = 20 * time.Second
	remoteTransport = 5 * time.Millisecond
)

// chunkTokens is the number of prompt tokens per step. A large chunk reads prompts
// faster and delays the tokens of running answers.
var chunkTokens = map[port.Role]int{
	port.RoleMixed:   256,
	port.RolePrefill: 1024,
	port.RoleDecode:  64,
}

// job is one attempt at a request on an engine.
type job struct {
	request  *request
	priority int
	// unread is the part of the prompt that the engine has not read.
	unread   int
	held     int
	started  bool
	produced int
	engine   *engine
	sent     time.Duration
	first    time.Duration
	ended    func(ok bool)
	firsts   func()
}

// engine is a fake engine with continuous batching and a prefix cache.
type engine struct {
	clock *clock
	id    string
	dc    int
	role  port.Role
	phase port.Phase
	since time.Duration
	// draining engines finish what they have and get no new work.
	draining bool
	// away is set on an engine that is drained for its replacement.
	away     bool
	down     bool
	stepping bool
	life     int

	queue   [3][]*job
	reading []*job
	running []*job
	held    int
	cache   *list.List
	cached  map[int]*list.Element
	inCache int
}

type cacheEntry struct {
	prefix int
	tokens int
}

func newEngine(c *clock, id string, dc int) *engine {
	return &engine{
		clock: c, id: id, dc: dc, role: port.RoleMixed, phase: port.PhaseServing,
		cache: list.New(), cached: map[int]*list.Element{},
	}
}

func (e *engine) serving() bool {
	return !e.down && e.phase == port.PhaseServing
}

// submit adds an attempt.
func (e *engine) submit(j *job) {
	if !e.serving() {
		e.clock.after(time.Millisecond, func() { j.ended(false) })
		return
	}
	e.queue[j.priority] = append(e.queue[j.priority], j)
	e.wake()
}

func (e *engine) wake() {
	if e.stepping || !e.serving() {
		return
	}
	e.stepping = true
	e.step()
}

// step plans one step and applies it when it is over.
func (e *engine) step() {
	e.admit()
	chunk := chunkTokens[e.role]
	plan := chunk
	for _, j := range e.reading {
		plan -= min(plan, j.unread)
	}
	read := chunk - plan
	if read == 0 && len(e.running) == 0 && len(e.reading) == 0 {
		e.stepping = false
		return
	}
	took := stepBase + time.Duration(len(e.running))*stepPerAnswer + time.Duration(read)*stepPerPrompt
	life := e.life
	e.clock.after(took, func() {
		if e.life == life {
			e.apply(read)
			e.step()
		}
	})
}

// admit moves attempts from the queue into the batch by priority. A long prompt
// that is being read does not keep a more urgent one waiting.
func (e *engine) admit() {
	unread := 0
	for p := range e.queue {
		for _, j := range e.reading {
			if j.priority == p {
				unread += j.unread
			}
		}
		for len(e.queue[p]) > 0 && unread < chunkTokens[e.role] {
			j := e.queue[p][0]
			need := j.request.prompt + j.request.output
			if len(e.running)+len(e.reading) >= maxBatch || e.held+need > engineKVTokens {
				return
			}
			e.queue[p] = e.queue[p][1:]
			e.begin(j, need)
			unread += j.unread
		}
	}
}

func (e *engine) begin(j *job, need int) {
	j.held, j.started = need, true
	e.held += need
	j.unread = j.request.prompt + j.produced
	if element, ok := e.cached[j.request.prefix]; ok && j.request.prefix > 0 {
		e.cache.MoveToFront(element)
		j.unread = max(1, j.unread-j.request.prefixTokens)
	}
	e.reading = append(e.reading, j)
	slices.SortStableFunc(e.reading, func(a, b *job) int { return a.priority - b.priority })
}

// apply ends a step that read the given number of prompt tokens.
func (e *engine) apply(read int) {
	perAnswer := stepPerAnswer
	if n := len(e.running); n > 0 {
		perAnswer += stepBase / time.Duration(n)
	}
	kept := e.running[:0]
	for _, j := range e.running {
		j.produced++
		j.request.work += perAnswer
		j.request.tokens++
		if j.produced >= j.request.output {
			e.finish(j)
			continue
		}
		kept = append(kept, j)
	}
	e.running = kept
	e.applyRead(read)
}

func (e *engine) applyRead(read int) {
	kept := e.reading[:0]
	for _, j := range e.reading {
		part := min(read, j.unread)
		read -= part
		j.unread -= part
		j.request.tokens += part
		j.request.work += time.Duration(part) * stepPerPrompt
		if j.unread > 0 {
			kept = append(kept, j)
			continue
		}
		e.firstToken(j)
	}
	e.reading = kept
}

func (e *engine) firstToken(j *job) {
	e.store(j.request)
	j.produced++
	j.first = e.clock.now
	j.firsts()
	if j.produced >= j.request.output {
		e.finish(j)
		return
	}
	e.running = append(e.running, j)
}

func (e *engine) store(r *request) {
	if r.prefix == 0 {
		return
	}
	if _, ok := e.cached[r.prefix]; ok {
		return
	}
	e.cached[r.prefix] = e.cache.PushFront(cacheEntry{r.prefix, r.prefixTokens})
	e.inCache += r.prefixTokens
	for e.inCache > cacheTokens {
		oldest := e.cache.Back()
		entry := e.cache.Remove(oldest).(cacheEntry)
		delete(e.cached, entry.prefix)
		e.inCache -= entry.tokens
	}
}

func (e *engine) finish(j *job) {
	e.held -= j.held
	j.ended(true)
}

// work returns the number of attempts on the engine.
func (e *engine) work() int {
	n := len(e.reading) + len(e.running)
	for p := range e.queue {
		n += len(e.queue[p])
	}
	return n
}

// crash loses all attempts and the cache; the engine is back after downFor.
func (e *engine) crash(downFor time.Duration) {
	e.life++
	e.down, e.stepping = true, false
	lost := append(e.reading, e.running...)
	for p := range e.queue {
		lost = append(lost, e.queue[p]...)
		e.queue[p] = nil
	}
	e.reading, e.running, e.held = nil, nil, 0
	e.clearCache()
	for _, j := range lost {
		j.ended(false)
	}
	e.clock.after(downFor, func() { e.down = false })
}

func (e *engine) clearCache() {
	e.cache, e.cached, e.inCache = list.New(), map[int]*list.Element{}, 0
}

// replace puts a new engine in the place of a drained one.
func (e *engine) replace() {
	e.clearCache()
	e.draining = false
}

// change drains the engine, then changes its role.
func (e *engine) change(role port.Role, done func()) {
	e.draining = true
	var poll func()
	poll = func() {
		if e.work() > 0 {
			e.clock.after(100*time.Millisecond, poll)
			return
		}
		e.phase = port.PhaseChanging
		e.clock.after(changeTime, func() {
			e.role, e.phase, e.draining, e.since = role, port.PhaseServing, e.away, e.clock.now
			done()
		})
	}
	poll()
}

// status is what the engine reports of itself.
func (e *engine) status() port.EngineStatus {
	s := port.EngineStatus{
		Engine: e.id, Model: model, Role: e.role, Phase: e.phase, Time: e.clock.Time(),
		Running: len(e.running) + len(e.reading), KVUsed: int64(e.held), KVCapacity: engineKVTokens, Capacity: reportedRate,
	}
	for p := range e.queue {
		s.Queued += len(e.queue[p])
		for _, j := range e.queue[p] {
			s.QueuedPrefillTokens += int64(j.request.prompt)
		}
	}
	for _, j := range e.reading {
		s.QueuedPrefillTokens += int64(j.unread)
	}
	return s
}
