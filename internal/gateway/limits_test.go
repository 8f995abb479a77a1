package gateway

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/seedtest"
)

const (
	// limitStep is the resolution of the simulated time.
	limitStep = 5 * time.Millisecond
	// limitWindow is the period in which a runner that names a limit may get limitFactor times what
	// the limit allows, plus limitSlack requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitNotice is how long a daemon may take to obey a limit after an answer named it.
	limitNotice = 500 * time.Millisecond
	// limitStart is when a limit begins to be judged, after the runner first named it.
	limitStart = 3 * time.Second
	// limitAnswerTime is the time in which runners answer.
	limitAnswerTime = 300 * time.Millisecond
	limitedID       = "limited"
	// slowMessage is the delay of a message of which a packet was lost.
	slowMessage = 400 * time.Millisecond
)

// limitSim plays daemons that share a service of one limited runner and others, without a network and
// in simulated time.
type limitSim struct {
	random   *rand.Rand
	now      time.Time
	began    time.Time
	daemons  []*limitDaemon
	messages []limitMessage
	answers  []limitAnswer
	// limit returns the limit that the runner names at a time since the begin; negative for none.
	limit func(time.Duration) float64
	// callers returns the requests per second that arrive at a daemon.
	callers func(daemon int, at time.Duration) float64
	// cut reports whether two daemons cannot reach each other.
	cut func(a, b int, at time.Duration) bool
	// excused reports whether the requests of a daemon are not judged, because it alone is cut off.
	excused func(daemon int, at time.Duration) bool
	// slow is the share of messages that take slowMessage, restarts the number of restarts.
	slow        float64
	restarts    int
	dataCentres int
	// arrivals holds the judged requests at the limited runner, all those that arrived there, refused
	// the number of requests for which there was no runner.
	arrivals, all []time.Duration
	refused       int
	firstNamed    time.Duration
}

type limitDaemon struct {
	*Gateway
	index  int
	toldAt time.Duration
	// runners are the registered runners.
	runners []port.Runner
}

type limitMessage struct {
	at       time.Time
	from, to int
	link     *peerLink
	message  loadMessage
}

type limitAnswer struct {
	at      time.Time
	daemon  *limitDaemon
	request *placement.InFlightRequest
	sentAt  time.Time
}

// newLimitSim returns a simulation of daemons, spread over data centres, and of the given number of
// runners of one service, of which the first one is limited.
func newLimitSim(seed uint64, daemons, dataCentres, runners int, limit float64) *limitSim {
	s := &limitSim{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Now(), dataCentres: dataCentres, firstNamed: math.MaxInt64,
		limit:   func(time.Duration) float64 { return limit },
		callers: func(int, time.Duration) float64 { return 5 },
		cut:     func(int, int, time.Duration) bool { return false },
		excused: func(int, time.Duration) bool { return false },
	}
	s.began = s.now
	var list []port.Runner
	for i := range runners {
		id := limitedID
		if i > 0 {
			id = fmt.Sprintf("other-%d", i)
		}
		list = append(list, port.Runner{
			ID: id, Service: "s", Address: fmt.Sprintf("10.9.0.%d:80", i), DataCentre: fmt.Sprintf("dc-%d", i%dataCentres), Slots: 64,
		})
	}
	for i := range daemons {
		s.daemons = append(s.daemons, &limitDaemon{index: i, toldAt: math.MaxInt64, runners: list})
	}
	for i := range daemons {
		s.start(i, dataCentres)
	}
	return s
}

// start starts a daemon, or starts it again without what it knew.
func (s *limitSim) start(index, dataCentres int) {
	d := s.daemons[index]
	g := newGatewayWith(noRunners{}, RetryLimits{})
	d.Gateway, d.toldAt = g, math.MaxInt64
	name := func(i int) string { return fmt.Sprintf("d-%03d", i) }
	dataCentre := func(i int) string { return fmt.Sprintf("dc-%d", i%dataCentres) }
	g.fleet = placement.NewFleet(dataCentre(index), name(index))
	g.peers.fleet, g.peers.name, g.peers.dataCentre = g.fleet, name(index), dataCentre(index)
	g.peers.dial = func(string) port.Peer { return unresponsivePeer{} }
	g.fleet.SetRunners(d.runners)
	entries := map[string]daemonEntry{}
	for i := range s.daemons {
		if i != index {
			entries[name(i)] = daemonEntry{Address: fmt.Sprint(i), DataCentre: dataCentre(i)}
		}
	}
	g.peers.addPeers(entries, false)
	g.peers.onRegistryRead()
	g.peers.lastFullReport = s.now.Add(-time.Duration(s.random.Int64N(int64(heartbeatInterval))))
	for _, l := range g.peers.links {
		l.lastContact, l.nextSend = s.now, s.now
	}
}

// elapsed returns the time since the begin.
func (s *limitSim) elapsed() time.Duration { return s.now.Sub(s.began) }

// run plays the given time.
func (s *limitSim) run(period time.Duration) {
	for end := s.now.Add(period); s.now.Before(end); s.now = s.now.Add(limitStep) {
		s.deliver()
		s.answer()
		for i, d := range s.daemons {
			if step := int(s.elapsed() / limitStep); (step+i)%int(loadInterval/limitStep) == 0 {
				s.report(d)
			}
			for range s.poisson(s.callers(i, s.elapsed()) * limitStep.Seconds()) {
				s.request(d)
			}
		}
	}
}

func (s *limitSim) poisson(mean float64) int {
	n := 0
	for p := s.random.Float64(); p > math.Exp(-mean); p *= s.random.Float64() {
		n++
	}
	return n
}

// request places a request of a caller.
func (s *limitSim) request(d *limitDaemon) {
	plan, ok := d.fleet.Place(s.now, placement.Query{Service: "s"})
	if !ok {
		s.refused++
		return
	}
	s.answers = append(s.answers, limitAnswer{at: s.now.Add(limitAnswerTime), daemon: d, request: plan.Run, sentAt: s.now})
	if plan.Run.Runner().ID != limitedID {
		return
	}
	at := s.elapsed()
	s.all = append(s.all, at)
	if !s.excused(d.index, at) && at-d.toldAt >= limitNotice {
		s.arrivals = append(s.arrivals, at)
	}
}

// answer delivers the answers of runners that are due.
func (s *limitSim) answer() {
	s.answers = slices.DeleteFunc(s.answers, func(a limitAnswer) bool {
		if a.at.After(s.now) {
			return false
		}
		a.request.End(s.now, placement.Completed)
		if a.request.Runner().ID != limitedID {
			return true
		}
		notice := port.RequestLimit{None: true}
		if rate := s.limit(s.elapsed()); rate >= 0 {
			notice = port.RequestLimit{Named: true, Rate: rate}
			s.firstNamed = min(s.firstNamed, s.elapsed())
			a.daemon.toldAt = min(a.daemon.toldAt, s.elapsed())
		}
		a.daemon.fleet.RecordLimit(s.now, limitedID, 0, a.sentAt, notice)
		return true
	})
}

// report sends the loads of a daemon to its peers.
func (s *limitSim) report(d *limitDaemon) {
	p := d.peers
	full := p.queueChanges(s.now)
	if full {
		p.checkReachability(s.now)
		p.fleet.SetLimitShare(p.heardShare(s.now))
	}
	for _, name := range slices.Sorted(maps.Keys(p.links)) {
		l := p.links[name]
		if l.callInFlight || s.now.Before(l.nextSend) || len(l.pendingLoads) == 0 && !(full && (l.cellPeer || l.probe)) {
			continue
		}
		m := loadMessage{From: p.name, DataCentre: p.dataCentre}
		for _, load := range l.pendingLoads {
			m.Runners = append(m.Runners, load)
		}
		l.pendingLoads = map[string]runnerLoad{}
		l.callInFlight = true
		if !l.cellPeer {
			l.nextSend = s.now.Add(partsInterval)
		}
		var to int
		_, _ = fmt.Sscan(l.address, &to)
		latency := time.Duration(1+s.random.IntN(12)) * time.Millisecond
		if s.random.Float64() < s.slow {
			latency = slowMessage
		}
		if s.cut(d.index, to, s.elapsed()) {
			latency = peerTimeout
		}
		s.messages = append(s.messages, limitMessage{at: s.now.Add(latency), from: d.index, to: to, link: l, message: m})
	}
}

// deliver delivers the messages between daemons that are due.
func (s *limitSim) deliver() {
	var due []limitMessage
	s.messages = slices.DeleteFunc(s.messages, func(m limitMessage) bool {
		if m.at.After(s.now) {
			return false
		}
		due = append(due, m)
		return true
	})
	for _, m := range due {
		m.link.callInFlight = false
		if s.cut(m.from, m.to, s.elapsed()) {
			m.link.backoff = maxPeerBackoff
			m.link.nextSend = s.now.Add(maxPeerBackoff)
			continue
		}
		m.link.backoff, m.link.lastContact = 0, s.now
		to := s.daemons[m.to].peers
		if l, ok := to.links[m.message.From]; ok {
			l.backoff, l.lastContact = 0, s.now
		}
		to.applyLoads(s.now, &m.message)
	}
}

// worst returns the largest excess of the judged requests over what the highest limit within a window
// allows, and the time at the end of that window.
func (s *limitSim) worst() (excess float64, at time.Duration) {
	excess = math.Inf(-1)
	for i, end := range s.arrivals {
		if end < s.firstNamed+limitStart || !s.limitedSince(end-limitWindow-limitNotice-limitAnswerTime, end) {
			continue
		}
		count, highest := 0, s.limit(end)
		for j := i; j >= 0 && s.arrivals[j] > end-limitWindow; j-- {
			count++
			highest = max(highest, s.limit(s.arrivals[j]))
		}
		if over := float64(count) - (limitFactor*highest*limitWindow.Seconds() + limitSlack); over > excess {
			excess, at = over, end
		}
	}
	return excess, at
}

// limitedSince reports whether the runner names a limit during a whole period.
func (s *limitSim) limitedSince(from, to time.Duration) bool {
	for at := from; at <= to; at += limitNotice / 5 {
		if s.limit(at) < 0 {
			return false
		}
	}
	return true
}

// between returns the number of all requests at the limited runner in a period.
func (s *limitSim) between(from, to time.Duration) int {
	n := 0
	for _, at := range s.all {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// Guards against daemons that together send a runner more requests than the limit that it names
// allows, and against limits that leave most of the allowed requests unused.
func TestDaemonsObeyTheLimitOfARunnerTogether(t *testing.T) {
	const second = time.Second
	everywhere := func(rate float64) func(int, time.Duration) float64 {
		return func(int, time.Duration) float64 { return rate }
	}
	cases := []struct {
		name                          string
		daemons, dataCentres, runners int
		limit                         float64
		adapt                         func(*limitSim)
		// used is the part of the limit that must be used at least.
		used float64
	}{
		{"six daemons", 6, 3, 4, 1.5, nil, 0.7},
		{"six daemons, a higher limit", 6, 3, 4, 8, func(s *limitSim) { s.callers = everywhere(20) }, 0.7},
		{"one daemon has all callers", 6, 3, 1, 1.5, func(s *limitSim) {
			s.callers = func(d int, _ time.Duration) float64 { return map[int]float64{2: 30}[d] }
		}, 0.7},
		{"the whole pool is one runner", 6, 3, 1, 3, nil, 0.7},
		{"many daemons with few callers", 60, 3, 3, 1.5, func(s *limitSim) { s.callers = everywhere(0.5) }, 0.5},
		{"many daemons with many callers", 60, 3, 3, 1.5, func(s *limitSim) { s.callers = everywhere(5) }, 0.5},
		{"many daemons, a low limit", 95, 5, 5, 0.5, func(s *limitSim) { s.callers = everywhere(3) }, 0.3},
		{"no callers in its data centre", 30, 3, 1, 2, func(s *limitSim) {
			s.callers = func(d int, _ time.Duration) float64 { return map[bool]float64{false: 4}[d%3 == 0] }
		}, 0.5},
		{"bursts", 8, 3, 3, 1.5, func(s *limitSim) {
			s.callers = func(_ int, at time.Duration) float64 {
				if at > second && at%(6*second) > 200*time.Millisecond {
					return 0
				}
				return 100
			}
		}, 0},
		{"bursts of many daemons", 60, 3, 3, 1.5, func(s *limitSim) {
			s.callers = func(_ int, at time.Duration) float64 {
				if at > second && at%(6*second) > 200*time.Millisecond {
					return 0
				}
				return 20
			}
		}, 0},
		{"a limit of zero", 6, 3, 3, 0, nil, 0},
		{"daemons cut into halves", 8, 2, 3, 3, func(s *limitSim) {
			s.cut = func(a, b int, at time.Duration) bool { return at > 8*second && at < 20*second && a%2 != b%2 }
		}, 0.5},
		{"data centres cut from each other", 60, 3, 3, 3, func(s *limitSim) {
			s.cut = func(a, b int, at time.Duration) bool { return at > 8*second && at < 20*second && a%3 != b%3 }
		}, 0.2},
		{"a limit that changes", 6, 3, 3, 2, func(s *limitSim) {
			s.limit = func(at time.Duration) float64 { return 1 + float64(int(at.Seconds()*2)%3) }
		}, 0},
		{"a limit that comes and goes", 6, 3, 3, 2, func(s *limitSim) {
			s.limit = func(at time.Duration) float64 {
				if int(at.Seconds())%12 < 7 {
					return 2
				}
				return -1
			}
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newLimitSim(1, c.daemons, c.dataCentres, c.runners, c.limit)
			if c.adapt != nil {
				c.adapt(s)
			}
			s.run(30 * second)
			if excess, at := s.worst(); excess > 0 {
				t.Errorf("at %s the runner has got %.0f requests more than allowed in %s", at, excess, limitWindow)
			}
			if got := s.between(10*second, 30*second); float64(got) < c.used*c.limit*20 {
				t.Errorf("the runner got %d requests in 20 s, want %.0f of the %.0f that its limit allows", got, c.used*c.limit*20, c.limit*20)
			}
			if c.runners > 1 && s.refused > 0 {
				t.Errorf("%d requests found no runner although others are not limited", s.refused)
			}
		})
	}
}

// Guards against daemons that start again without what they knew and send as if no limit were named.
func TestRestartedDaemonsObeyTheLimitOfARunner(t *testing.T) {
	s := newLimitSim(2, 6, 3, 3, 1.5)
	for i := range 10 {
		s.run(3 * time.Second)
		s.start(i%len(s.daemons), 3)
	}
	if excess, at := s.worst(); excess > 0 {
		t.Errorf("at %s the runner has got %.0f requests more than allowed in %s", at, excess, limitWindow)
	}
}

// Guards against a runner that stays limited after it stopped naming a limit, or that then gets the
// requests of all daemons at once.
func TestRunnerGetsItsRequestsBackAfterItsLimit(t *testing.T) {
	for _, daemons := range []int{6, 60} {
		s := newLimitSim(3, daemons, 3, 3, 1)
		s.callers = func(int, time.Duration) float64 { return 120 / float64(daemons) }
		const end = 15 * time.Second
		s.limit = func(at time.Duration) float64 {
			if at < end {
				return 1
			}
			return -1
		}
		s.run(30 * time.Second)
		if got := s.between(end-5*time.Second, end); got > 16 {
			t.Errorf("%d daemons: the runner got %d requests in the last 5 s of its limit, want about 5", daemons, got)
		}
		if got := s.between(end, end+time.Second); got > 20 {
			t.Errorf("%d daemons: the runner got %d requests in the first second after its limit, want a gradual return", daemons, got)
		}
		if got := s.between(end+7*time.Second, end+12*time.Second); got < 100 {
			t.Errorf("%d daemons: the runner got %d requests in 5 s soon after its limit, want about 200", daemons, got)
		}
	}
}

// drawLimitSim returns a simulation with drawn sizes, callers, cuts and delays.
func drawLimitSim(seed uint64) *limitSim {
	random := rand.New(rand.NewPCG(seed, 7))
	dataCentres := 1 + random.IntN(4)
	daemons := dataCentres + random.IntN(30)
	limit := math.Exp(random.Float64()*math.Log(40)) / 2
	s := newLimitSim(seed, daemons, dataCentres, 1+random.IntN(4), limit)
	weights := make([]float64, daemons)
	total := 0.0
	for i := range weights {
		weights[i] = math.Pow(random.Float64(), float64(random.IntN(8)))
		total += weights[i]
	}
	demand := limit * (0.5 + 20*random.Float64())
	period := time.Duration(1+random.IntN(8)) * time.Second
	bursts := random.IntN(2) == 0
	s.callers = func(d int, at time.Duration) float64 {
		rate := demand * weights[d] / total
		if bursts && at%period > period/4 {
			return rate / 10
		}
		return rate
	}
	if random.IntN(2) == 0 {
		from := time.Duration(random.IntN(15)) * time.Second
		to := from + time.Duration(1+random.IntN(12))*time.Second
		group := func(d int) int { return d % dataCentres }
		switch random.IntN(3) {
		case 0:
			// Single daemons.
			group = func(d int) int { return max(0, 4-d) }
			s.excused = func(d int, at time.Duration) bool { return at >= from && at < to+limitStart && group(d) > 0 }
		case 1:
			if daemons <= 8 {
				group = func(d int) int { return d % 2 }
			}
		}
		s.cut = func(a, b int, at time.Duration) bool { return at >= from && at < to && group(a) != group(b) }
	}
	s.slow = 0.05 * random.Float64() * float64(random.IntN(2))
	s.restarts = random.IntN(3)
	return s
}

// Guards against limits that hold in the drawn cases above only: for any sizes, callers, cuts, late
// messages and restarts.
func TestLimitsHoldInDrawnFleets(t *testing.T) {
	seedtest.Run(t, func(t *testing.T, seed uint64) {
		s := drawLimitSim(seed)
		for i := range 3 {
			s.run(8 * time.Second)
			if i < s.restarts {
				s.start(s.random.IntN(len(s.daemons)), s.dataCentres)
			}
		}
		if excess, at := s.worst(); excess > 0 {
			t.Errorf("%d daemons, %d data centres, limit %.2f: at %s the runner has got %.0f requests more than allowed in %s",
				len(s.daemons), s.dataCentres, s.limit(0), at, excess, limitWindow)
		}
	})
}
