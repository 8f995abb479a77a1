package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	disaggService    = "llm"
	disaggDataCentre = "north"
	// disaggReportInterval and disaggFullInterval are how often daemons report changed loads and
	// all loads; disaggReportDelay is how long a report takes.
	disaggReportInterval = 30 * time.Millisecond
	disaggFullInterval   = 300 * time.Millisecond
	disaggReportDelay    = 3 * time.Millisecond
)

// disaggClass is one kind of request.
type disaggClass struct {
	name string
	rank int
	// perSecond is the arrival rate. It is multiplied by burst between burstFrom and burstTo.
	perSecond          float64
	burst              float64
	burstFrom, burstTo time.Duration
	// sharedTokens of the prompt are shared by all requests of a subject.
	sharedTokens, ownTokens, outputTokens int
	subjects                              int
	objective, allowedGap, timeout        time.Duration
}

// disaggRequest is one request and what its caller gets.
type disaggRequest struct {
	class    *disaggClass
	prompt   *port.Prompt
	arrival  time.Duration
	refused  bool
	finished bool
	// firstEvent is the time from the arrival to the first event, longestGap the longest time
	// between two events.
	firstEvent, lastEvent, longestGap time.Duration
}

// onTime reports whether the whole answer arrived within the objectives.
func (r *disaggRequest) onTime() bool {
	return r.finished && r.firstEvent <= r.class.objective && r.longestGap <= r.class.allowedGap
}

// disaggResult counts the requests of one class by what their callers got. Abandoned requests were
// accepted, but their client disconnected before the first event.
type disaggResult struct {
	Asked, OnTime, Late, Paused, Refused, Abandoned int
}

// disaggOptions describes one run of a fleet of prefill and decode engines in one data centre.
type disaggOptions struct {
	seed            uint64
	daemons         int
	prefill, decode int
	speeds          disaggSpeeds
	classes         []disaggClass
	length          time.Duration
	// limits holds, by the number of an engine, the request limit that it names in its answers, in
	// requests per second; prefill engines come first.
	limits map[int]float64
}

// disaggSimulation plays a load against the real placement decisions of several daemons, whose load
// reports are as old as on a network.
type disaggSimulation struct {
	clock    clock
	options  disaggOptions
	rng      *rand.Rand
	fleets   []*placement.Fleet
	engines  map[string]*disaggEngine
	requests []*disaggRequest
	// longAtDecode counts the prompts prefilled at decode engines that take longer than the gap
	// that their class allows.
	longAtDecode int
	// inVain is the number of prompts that were prefilled but not continued, received the number of
	// requests that each engine received.
	inVain   int
	received map[string]int
}

// runDisagg plays a load and returns the simulation after its end.
func runDisagg(o disaggOptions) *disaggSimulation {
	sim := &disaggSimulation{options: o, rng: rand.New(rand.NewPCG(o.seed, 2)), engines: map[string]*disaggEngine{}, received: map[string]int{}}
	var runners []port.Runner
	for i := range o.prefill + o.decode {
		role := port.RolePrefill
		if i >= o.prefill {
			role = port.RoleDecode
		}
		id := fmt.Sprintf("engine-%d", i)
		sim.engines[id] = newDisaggEngine(&sim.clock, role, o.speeds)
		sim.engines[id].limit, sim.engines[id].limited = o.limits[i], o.limits[i] > 0
		runners = append(runners, port.Runner{ID: id, Service: disaggService, Address: id, DataCentre: disaggDataCentre, Role: role, Slots: disaggSlots})
	}
	for i := range o.daemons {
		f := placement.NewFleet(disaggDataCentre, fmt.Sprintf("daemon-%d", i))
		f.SetServices(map[string]port.ForwardService{disaggService: {Name: disaggService, Engine: o.speeds.limits()}})
		f.SetRunners(runners)
		sim.fleets = append(sim.fleets, f)
		sim.scheduleReports(i, 0)
	}
	for i := range o.classes {
		sim.scheduleArrival(&o.classes[i])
	}
	sim.clock.runUntil(o.length)
	return sim
}

// scheduleReports schedules the next load report of a daemon to its peers.
func (s *disaggSimulation) scheduleReports(daemon int, sinceFull time.Duration) {
	s.clock.after(disaggReportInterval, func() {
		sinceFull += disaggReportInterval
		all := sinceFull >= disaggFullInterval
		updates := s.fleets[daemon].LoadUpdates(s.clock.Time(), all)
		if all {
			sinceFull = 0
		}
		s.clock.after(disaggReportDelay, func() {
			for i, f := range s.fleets {
				if i != daemon {
					f.ApplyPeerLoads(s.clock.Time(), fmt.Sprintf("daemon-%d", daemon), updates)
				}
			}
		})
		s.scheduleReports(daemon, sinceFull)
	})
}

// scheduleArrival schedules the next request of a class.
func (s *disaggSimulation) scheduleArrival(c *disaggClass) {
	rate := c.perSecond
	if s.clock.now >= c.burstFrom && s.clock.now < c.burstTo {
		rate *= c.burst
	}
	s.clock.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		s.serve(s.newRequest(c), s.fleets[s.rng.IntN(len(s.fleets))])
		s.scheduleArrival(c)
	})
}

func (s *disaggSimulation) newRequest(c *disaggClass) *disaggRequest {
	own := 1 + int(s.rng.ExpFloat64()*float64(c.ownTokens))
	r := &disaggRequest{class: c, arrival: s.clock.now, prompt: &port.Prompt{
		Model: model, InputTokens: c.sharedTokens + own, OutputTokens: c.outputTokens,
		Parts: []port.PromptPart{
			{ID: fmt.Sprintf("%s-%d", c.name, s.rng.IntN(c.subjects)), Tokens: c.sharedTokens},
			{ID: fmt.Sprintf("own-%d", len(s.requests)), Tokens: own},
		},
	}}
	s.requests = append(s.requests, r)
	return r
}

// query returns the placement query for a request at this time.
func (s *disaggSimulation) query(r *disaggRequest, urgency int) placement.Query {
	waited := s.clock.now - r.arrival
	return placement.Query{
		Service: disaggService, Prompt: r.prompt, Urgency: urgency, Objective: r.class.objective, AllowedGap: r.class.allowedGap,
		RemainingTarget: max(time.Millisecond, r.class.objective-waited), ClientTimeout: r.class.timeout - waited,
	}
}

// serve classifies and places a request as a daemon does.
func (s *disaggSimulation) serve(r *disaggRequest, f *placement.Fleet) {
	class := f.Classify(s.clock.Time(), s.query(r, 0), r.class.rank)
	if !class.Accepted {
		r.refused = true
		return
	}
	plan, ok := f.Place(s.clock.Time(), s.query(r, class.Urgency))
	if !ok {
		r.refused = true
		return
	}
	if plan.Run != nil {
		s.run(r, f, plan.Run, class.Urgency, false)
		return
	}
	engine := s.engines[plan.Prefill.Runner().ID]
	j := &disaggJob{request: r, urgency: class.Urgency}
	sentAt := s.clock.Time()
	s.received[plan.Prefill.Runner().ID]++
	j.onPrefilled = func() {
		s.nameLimit(f, engine, plan.Prefill, sentAt)
		plan.Prefill.MarkPrefilled(s.clock.Time())
		plan.Prefill.End(s.clock.Time(), placement.Completed)
		inFlight, ok := f.PlaceDecode(s.clock.Time(), s.query(r, class.Urgency), plan.Prefill.Runner())
		if !ok {
			r.refused = true
			s.inVain++
			return
		}
		s.clock.after(s.options.speeds.transfer(r.prompt.InputTokens), func() { s.run(r, f, inFlight, class.Urgency, true) })
	}
	s.cancelAtTimeout(r, j, plan.Prefill)
	s.submit(engine, j, plan.Prefill)
}

// nameLimit tells a daemon what the answer of an engine says of its request limit.
func (s *disaggSimulation) nameLimit(f *placement.Fleet, e *disaggEngine, inFlight *placement.InFlightRequest, sentAt time.Time) {
	f.RecordLimit(s.clock.Time(), inFlight.Runner().ID, 0, sentAt, port.RequestLimit{Named: e.limited, None: !e.limited, Rate: e.limit})
}

// submit sends a prompt to the engine that prefills it. The engine first fetches the parts that
// another one has cached, if the placement says so.
func (s *disaggSimulation) submit(engine *disaggEngine, j *disaggJob, inFlight *placement.InFlightRequest) {
	source, ok := s.engines[inFlight.FetchFrom()]
	if !ok {
		engine.submit(j, false)
		return
	}
	parts, tokens := source.cachedPrefix(j.request.prompt.Parts)
	s.clock.after(s.options.speeds.transfer(tokens), func() {
		engine.store(parts)
		engine.submit(j, false)
	})
}

// run executes a request at a decode engine.
func (s *disaggSimulation) run(r *disaggRequest, f *placement.Fleet, inFlight *placement.InFlightRequest, urgency int, prefilled bool) {
	engine := s.engines[inFlight.Runner().ID]
	j := &disaggJob{request: r, urgency: urgency, tokensLeft: r.prompt.OutputTokens}
	j.onPrefilled = func() { inFlight.MarkPrefilled(s.clock.Time()) }
	sentAt := s.clock.Time()
	s.received[inFlight.Runner().ID]++
	j.onEvent = func() {
		if r.firstEvent == 0 {
			s.nameLimit(f, engine, inFlight, sentAt)
		}
		inFlight.RecordEvent(s.clock.Time())
		r.recordEvent(s.clock.now)
	}
	j.onEnd = func() {
		r.finished = true
		inFlight.End(s.clock.Time(), placement.Completed)
	}
	if !prefilled && time.Duration(inFlight.UncachedTokens()*s.options.speeds.decodePrefillFactor)*s.options.speeds.prefillPerToken > r.class.allowedGap {
		s.longAtDecode++
	}
	s.cancelAtTimeout(r, j, inFlight)
	if prefilled {
		engine.submit(j, true)
		return
	}
	s.submit(engine, j, inFlight)
}

// recordEvent records the arrival of an event at the client.
func (r *disaggRequest) recordEvent(now time.Duration) {
	if r.firstEvent == 0 {
		r.firstEvent = now - r.arrival
	} else {
		r.longestGap = max(r.longestGap, now-r.lastEvent)
	}
	r.lastEvent = now
}

// cancelAtTimeout cancels an attempt if the client has received no event when it disconnects.
func (s *disaggSimulation) cancelAtTimeout(r *disaggRequest, j *disaggJob, inFlight *placement.InFlightRequest) {
	s.clock.after(r.arrival+r.class.timeout-s.clock.now, func() {
		if r.firstEvent == 0 {
			j.cancelled = true
			inFlight.End(s.clock.Time(), placement.Abandoned)
		}
	})
}

// results returns the results by class. Requests that arrived too late to end are left out.
func (s *disaggSimulation) results() map[string]disaggResult {
	out := map[string]disaggResult{}
	for _, r := range s.requests {
		if r.arrival > s.options.length-2*r.class.timeout {
			continue
		}
		c := out[r.class.name]
		c.Asked++
		switch {
		case r.refused:
			c.Refused++
		case r.firstEvent == 0:
			c.Abandoned++
		case r.onTime():
			c.OnTime++
		default:
			c.Late++
		}
		if r.longestGap > r.class.allowedGap {
			c.Paused++
		}
		out[r.class.name] = c
	}
	return out
}

// onTimeShare returns the share of the requests whose callers got the whole answer on time.
func (r disaggResult) onTimeShare() float64 { return float64(r.OnTime) / float64(max(1, r.Asked)) }
