package bench

import (
	"slices"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// disaggSpeeds are the speeds and sizes of an engine that has the prefill or the decode role.
type disaggSpeeds struct {
	// prefillPerToken is the prefill time of one prompt token at a prefill engine; a decode engine
	// needs decodePrefillFactor times as long.
	prefillPerToken     time.Duration
	decodePrefillFactor int
	// step is the time in which an engine generates one token for each stream. It also prefills up
	// to chunk prompt tokens per step, a decode engine up to chunk/decodeChunkDivisor, which
	// lengthens the step.
	step  time.Duration
	chunk int
	// tokensPerEvent is the number of tokens that one event of a stream holds.
	tokensPerEvent int
	// cacheTokens is the size of the prefix cache in tokens.
	cacheTokens int
	// transferPerToken is the transfer time of the KV cache of one token to another engine.
	transferPerToken time.Duration
}

// disaggJob is one attempt of a request at an engine.
type disaggJob struct {
	request *disaggRequest
	urgency int
	// prefillLeft is the number of prompt tokens that are left to prefill, tokensLeft the number
	// of tokens to generate; it is 0 at a prefill engine.
	prefillLeft int
	tokensLeft  int
	// sinceEvent is the number of tokens generated since the last event.
	sinceEvent int
	// started is set once the engine has begun to prefill the prompt. cancelled attempts are
	// dropped with the next step.
	started     bool
	cancelled   bool
	onPrefilled func()
	onEvent     func()
	onEnd       func()
}

// disaggEngine is a simulated engine of a fleet with disaggregated prefill and decode. It prefills
// one prompt at a time, by urgency and then in the order of arrival.
type disaggEngine struct {
	clock  *clock
	role   port.Role
	speeds disaggSpeeds

	// queue holds the prompts that are not prefilled, streams the attempts that generate tokens.
	queue   []*disaggJob
	streams []*disaggJob
	// stepping is set while a step is scheduled.
	stepping bool

	cache *prefixCache[string]
	// limit is the request limit in requests per second that the engine names if limited is set.
	limit   float64
	limited bool
}

func newDisaggEngine(c *clock, role port.Role, s disaggSpeeds) *disaggEngine {
	return &disaggEngine{clock: c, role: role, speeds: s, cache: newPrefixCache[string](s.cacheTokens)}
}

// submit queues an attempt. prefilled is set if the KV cache of the prompt was transferred from
// another engine.
func (e *disaggEngine) submit(j *disaggJob, prefilled bool) {
	if prefilled {
		e.streams = append(e.streams, j)
	} else {
		j.prefillLeft = j.request.prompt.InputTokens
		e.queue = append(e.queue, j)
	}
	if !e.stepping {
		e.stepping = true
		e.step()
	}
}

// current returns the prompt that the engine prefills, or nil. A prompt whose prefill has started
// is finished before more urgent ones.
func (e *disaggEngine) current() *disaggJob {
	e.queue = slices.DeleteFunc(e.queue, func(j *disaggJob) bool { return j.cancelled })
	if len(e.queue) == 0 {
		return nil
	}
	best := slices.MinFunc(e.queue, func(a, b *disaggJob) int { return a.rank() - b.rank() })
	if !best.started {
		best.started = true
		best.prefillLeft = max(1, best.prefillLeft-e.useCached(best.request.prompt.Parts))
	}
	return best
}

// rank orders prompts: the one in prefill first, then by urgency.
func (j *disaggJob) rank() int {
	if j.started {
		return -1
	}
	return j.urgency
}

// step schedules the next step, which takes effect when its duration has passed.
func (e *disaggEngine) step() {
	e.streams = slices.DeleteFunc(e.streams, func(j *disaggJob) bool { return j.cancelled })
	prefill := e.current()
	if prefill == nil && len(e.streams) == 0 {
		e.stepping = false
		return
	}
	duration, tokens := e.speeds.step, 0
	if prefill != nil {
		chunk, perToken := e.speeds.chunk, e.speeds.prefillPerToken
		if e.role == port.RoleDecode {
			chunk /= decodeChunkDivisor
			perToken *= time.Duration(e.speeds.decodePrefillFactor)
		}
		tokens = min(prefill.prefillLeft, chunk)
		duration += time.Duration(tokens) * perToken
	}
	e.clock.after(duration, func() {
		e.generate()
		if prefill != nil {
			e.advance(prefill, tokens)
		}
		e.step()
	})
}

// advance records prefilled tokens of a prompt.
func (e *disaggEngine) advance(j *disaggJob, tokens int) {
	j.prefillLeft -= tokens
	if j.prefillLeft > 0 || j.cancelled {
		return
	}
	e.queue = slices.DeleteFunc(e.queue, func(other *disaggJob) bool { return other == j })
	e.store(j.request.prompt.Parts)
	if j.tokensLeft > 0 {
		e.streams = append(e.streams, j)
	}
	j.onPrefilled()
}

// generate generates one token for each stream.
func (e *disaggEngine) generate() {
	for _, j := range slices.Clone(e.streams) {
		j.tokensLeft--
		j.sinceEvent++
		if j.sinceEvent >= e.speeds.tokensPerEvent || j.tokensLeft <= 0 {
			j.sinceEvent = 0
			j.onEvent()
		}
		if j.tokensLeft <= 0 {
			e.streams = slices.DeleteFunc(e.streams, func(other *disaggJob) bool { return other == j })
			j.onEnd()
		}
	}
}

// cachedPrefix returns the cached parts at the start of a prompt and their tokens.
func (e *disaggEngine) cachedPrefix(parts []port.PromptPart) ([]port.PromptPart, int) {
	tokens := 0
	for i, p := range parts {
		if !e.cache.contains(p.ID) {
			return parts[:i], tokens
		}
		tokens += p.Tokens
	}
	return parts, tokens
}

// useCached returns the number of cached tokens at the start of a prompt and marks them as used.
func (e *disaggEngine) useCached(parts []port.PromptPart) int {
	cached, tokens := e.cachedPrefix(parts)
	for _, p := range cached {
		e.cache.use(p.ID)
	}
	return tokens
}

// store caches the parts of a prompt.
func (e *disaggEngine) store(parts []port.PromptPart) {
	for _, p := range parts {
		if !e.cache.use(p.ID) {
			e.cache.add(p.ID, p.Tokens)
		}
	}
}

// limits returns the limits of the engine as the configuration states them.
func (s disaggSpeeds) limits() *port.EngineLimits {
	const tokenBytes = 100_000
	bits := float64(tokenBytes) * 8
	return &port.EngineLimits{
		Slots: disaggSlots, KVTokens: s.cacheTokens, KVTokenBytes: tokenBytes,
		LinkMbps: bits / s.transferPerToken.Seconds() / 1e6,
	}
}

// decodeChunkDivisor reduces the prefill chunks of decode engines, which lengthen each step.
const decodeChunkDivisor = 4

// disaggSlots is the number of requests that an engine runs at once.
const disaggSlots = 64

// transfer returns the time to transfer the KV cache of a number of tokens.
func (s disaggSpeeds) transfer(tokens int) time.Duration {
	return time.Duration(tokens) * s.transferPerToken
}
