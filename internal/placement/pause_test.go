package placement_test

import (
	"fmt"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
)

// quietPause is the time between events of the streams in these tests.
const quietPause = 40 * time.Millisecond

// stream starts a stream on time at the only engine that is not excluded and delivers its
// first events.
func stream(t *testing.T, f *placement.Fleet, now time.Time, excluded map[string]bool) *placement.InFlightRequest {
	t.Helper()
	_, w := place(t, f, now, placement.Query{
		Prompt: prompt(0), RemainingTarget: time.Second, AllowedGap: 150 * time.Millisecond, Excluded: excluded, NoPrefill: true,
	})
	w.RecordEvent(now)
	w.RecordEvent(now.Add(quietPause))
	return w
}

// Load: short and long prompts arrive while a stream runs that may pause for 150 ms.
// Guards against prompts that are read between the tokens of running streams and make all
// of them late, and against decode engines that read nothing although it would harm none.
func TestPromptsAreReadWhereNoStreamBecomesLate(t *testing.T) {
	cases := []struct {
		name    string
		tokens  int
		allowed time.Duration
		late    bool
		prefill bool
	}{
		{"long prompt", 6_000, 150 * time.Millisecond, false, true},
		{"short prompt", 300, 150 * time.Millisecond, false, false},
		{"long prompt, long pauses allowed", 6_000, time.Second, false, false},
		{"long prompt, the stream is late already", 6_000, 150 * time.Millisecond, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(port.RolePrefill, port.RoleDecode)
			_, w := place(t, f, start, placement.Query{Prompt: prompt(0), RemainingTarget: time.Second, AllowedGap: c.allowed, NoPrefill: true})
			w.RecordEvent(start)
			now := start.Add(quietPause)
			if c.late {
				now = start.Add(2 * c.allowed)
			}
			w.RecordEvent(now)
			// The prefill engine has enough to read for the decode engine to be faster.
			place(t, f, now, placement.Query{Prompt: prompt(16_000), Excluded: map[string]bool{"engine-1": true}})
			plan, _ := place(t, f, now, placement.Query{Prompt: prompt(c.tokens), AllowedGap: c.allowed, RemainingTarget: 2 * time.Second})
			if got := plan.Prefill != nil; got != c.prefill {
				t.Errorf("read at a prefill engine: %t, want %t", got, c.prefill)
			}
		})
	}
}

// Load: a stream whose prompt was read elsewhere goes on while one of two decode engines
// reads a long prompt. Guards against streams that are moved to an engine that will make
// them pause.
func TestStreamsGoOnWhereNothingIsRead(t *testing.T) {
	f := newFleet(port.RoleDecode, port.RoleDecode, port.RolePrefill)
	_, reading := place(t, f, start, placement.Query{Prompt: prompt(8_000), NoPrefill: true})
	source := port.Runner{ID: "engine-2", Service: service, Address: "10.0.0.2:80", DataCentre: "north", Role: port.RolePrefill, Slots: 64}
	w, ok := f.PlaceDecode(start, placement.Query{Service: service, Prompt: prompt(6_000), AllowedGap: 150 * time.Millisecond, RemainingTarget: time.Second}, source)
	if !ok || w.Runner().ID == reading.Runner().ID {
		t.Errorf("the stream goes on at %s, which reads a prompt of 8,000 tokens", w.Runner().ID)
	}
}

// Load: several short prompts arrive one after another, each harmless alone. Guards
// against pauses that are made of several readings.
func TestReadingsInOnePauseAddUp(t *testing.T) {
	f := newFleet(port.RoleDecode, port.RolePrefill)
	stream(t, f, start, nil)
	now := start.Add(quietPause)
	here := 0
	for range 8 {
		plan, _ := place(t, f, now, placement.Query{Prompt: prompt(900), AllowedGap: 150 * time.Millisecond, RemainingTarget: 2 * time.Second})
		if plan.Run != nil {
			here++
		}
	}
	if here == 0 || here > 3 {
		t.Errorf("%d of 8 prompts of 900 tokens are read at once beside a stream that may pause for 150 ms, want 1 to 3", here)
	}
}

// Guards against daemons that each take an engine to read their own prompt all the time,
// so that a queue that several daemons caused seems to shrink several times as fast as it
// does.
func TestPromptsOfSeveralDaemonsAreReadOneAfterAnother(t *testing.T) {
	f := newFleet(port.RolePrefill)
	for i := range 4 {
		other := newFleet(port.RolePrefill)
		place(t, other, start, placement.Query{Prompt: prompt(10_000)})
		f.ApplyPeerLoads(start, fmt.Sprintf("peer-%d", i), other.LoadUpdates(start, false))
	}
	ask := placement.Query{Service: service, Prompt: prompt(1_000), Urgency: placement.UrgencyLate}
	_, wait, _ := f.Predict(start, ask)
	later := start.Add(wait / 4)
	_, rest, _ := f.Predict(later, ask)
	if least := wait - wait/4 - time.Millisecond; rest < least {
		t.Errorf("predicted wait went from %s to %s in %s, want at least %s", wait, rest, wait/4, least)
	}
}

// Guards against a model of one engine's speed that is used for all: readings must be
// predicted from what the engines showed, for short and long contexts.
func TestReadingTimesAreLearnt(t *testing.T) {
	const perToken, perPair = 17 * time.Microsecond, 600 * time.Microsecond
	truth := func(tokens int) time.Duration {
		pairs := float64(tokens) * float64(tokens) / 2 / 1e6
		return time.Duration(tokens)*perToken + time.Duration(pairs*float64(perPair))
	}
	f := newFleet(port.RolePrefill, port.RolePrefill)
	now := start
	for i := range 60 {
		tokens := []int{2_000, 8_000, 25_000}[i%3]
		_, w := place(t, f, now, placement.Query{Prompt: prompt(tokens)})
		now = now.Add(truth(tokens) + 15*time.Millisecond)
		w.MarkPrefilled(now)
		w.End(now, placement.Completed)
	}
	for _, tokens := range []int{3_000, 12_000, 30_000} {
		first, _, _ := f.Predict(now, placement.Query{Service: service, Prompt: prompt(tokens)})
		if want := truth(tokens); first < want*8/10 || first > want*12/10+50*time.Millisecond {
			t.Errorf("reading %d tokens is predicted to take %s, want about %s", tokens, first, want)
		}
	}
}

// Load: two daemons with the same view place requests at the same moment. Guards against
// all daemons that choose the same engine until they have heard of each other.
func TestDaemonsSpreadOverEqualEngines(t *testing.T) {
	var runners []port.Runner
	for i := range 6 {
		runners = append(runners, port.Runner{
			ID: fmt.Sprintf("engine-%d", i), Service: service, Address: fmt.Sprintf("10.0.0.%d:80", i),
			DataCentre: "north", Role: port.RolePrefill, Slots: 64,
		})
	}
	chosen := map[string]int{}
	for i := range 12 {
		f := placement.NewFleet("north", fmt.Sprintf("daemon-%d", i))
		f.SetServices(map[string]port.ForwardService{service: {Name: service, Engine: &limits}})
		f.SetRunners(runners)
		_, w := place(t, f, start, placement.Query{Prompt: prompt(1_000)})
		chosen[w.Runner().ID]++
	}
	for id, n := range chosen {
		if n > 6 {
			t.Errorf("%d of 12 daemons chose %s at the same moment", n, id)
		}
	}
}
