package admission

import "math"

// quantum is the deficit, in tokens, that a flow of weight 1 gains per round. It is close
// to the cost of a typical request, so that most rounds start one.
const quantum = 1024

// flow is the queue of one organisation, which holds tickets, or of one profile, whose
// inner scheduler holds the flows of its organisations.
type flow struct {
	name   string
	weight float64
	// deficit is the cost, in tokens, that the flow may start now.
	deficit float64
	tickets []*Ticket
	inner   *scheduler
}

// scheduler serves its flows by deficit round robin (Shreedhar and Varghese,
// 1995) with the cost of tickets in place of packet lengths.
type scheduler struct {
	flows []*flow
	// current is the index of the flow that is served.
	current int
}

// flow returns the flow with the given name and updates its weight. It adds the flow if
// it does not exist.
func (s *scheduler) flow(name string, weight float64) *flow {
	if f := s.find(name); f != nil {
		f.weight = weight
		return f
	}
	f := &flow{name: name, weight: weight}
	s.flows = append(s.flows, f)
	return f
}

func (s *scheduler) find(name string) *flow {
	for _, f := range s.flows {
		if f.name == name {
			return f
		}
	}
	return nil
}

// head returns the next ticket to start, or nil. Repeated calls return the same ticket
// until the scheduler changes.
func (s *scheduler) head() *Ticket {
	f := s.nextFlow()
	if f == nil {
		return nil
	}
	return f.head()
}

// head returns the first ticket of a flow that is not empty.
func (f *flow) head() *Ticket {
	if f.inner != nil {
		return f.inner.head()
	}
	return f.tickets[0]
}

// nextFlow returns the next flow whose deficit covers the cost of its head, or nil if there
// are no flows.
func (s *scheduler) nextFlow() *flow {
	if len(s.flows) == 0 {
		return nil
	}
	for {
		for range s.flows {
			f := s.flows[s.current]
			if f.deficit >= f.head().cost {
				return f
			}
			s.advance()
		}
		s.skipRounds()
	}
}

// advance moves to the next flow and adds that flow's quantum to its deficit.
func (s *scheduler) advance() {
	s.current = (s.current + 1) % len(s.flows)
	f := s.flows[s.current]
	f.deficit += quantum * f.weight
}

// skipRounds adds at once the quanta of all rounds in which no flow could cover its head,
// so that small weights and large requests do not take thousands of steps.
func (s *scheduler) skipRounds() {
	rounds := math.Inf(1)
	for _, f := range s.flows {
		missing := (f.head().cost - f.deficit) / (quantum * f.weight)
		rounds = min(rounds, math.Floor(missing))
	}
	if rounds < 1 {
		return
	}
	for _, f := range s.flows {
		f.deficit += rounds * quantum * f.weight
	}
}

// pop removes and returns the ticket that head returns, and charges its flow.
func (s *scheduler) pop() *Ticket {
	f := s.nextFlow()
	var t *Ticket
	if f.inner != nil {
		t = f.inner.pop()
	} else {
		t = f.tickets[0]
		f.tickets = f.tickets[1:]
	}
	f.deficit -= t.cost
	s.dropIfEmpty(f)
	return t
}

func (f *flow) empty() bool {
	if f.inner != nil {
		return len(f.inner.flows) == 0
	}
	return len(f.tickets) == 0
}

// dropIfEmpty removes a flow without tickets. Its deficit is discarded, as deficit round
// robin requires: an idle flow accumulates no deficit.
func (s *scheduler) dropIfEmpty(f *flow) {
	if !f.empty() {
		return
	}
	for i := range s.flows {
		if s.flows[i] == f {
			s.flows = append(s.flows[:i], s.flows[i+1:]...)
			s.adjustCurrent(i)
			return
		}
	}
}

// adjustCurrent corrects the current index after the flow at index i was removed.
func (s *scheduler) adjustCurrent(i int) {
	if i < s.current {
		s.current--
	}
	if s.current >= len(s.flows) {
		s.current = 0
	}
}

// remove removes a ticket from any position of an organisation's flow.
func (s *scheduler) remove(f *flow, t *Ticket) {
	for i := range f.tickets {
		if f.tickets[i] == t {
			f.tickets = append(f.tickets[:i], f.tickets[i+1:]...)
			break
		}
	}
	s.dropIfEmpty(f)
}
