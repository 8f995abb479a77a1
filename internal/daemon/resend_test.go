package daemon

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/refusal"
	"bergamotsill.example/bergamotsill/internal/standin"
)

// resendCase is a state of the links between daemons during concurrent resends.
type resendCase struct {
	name string
	// disturb disturbs links between daemons before the resends.
	disturb func(c *cluster, daemons []string)
	// window is the longest time after the first crash during which a daemon may still
	// run the request as usual, because it has not received a report of the crash.
	window time.Duration
	// total bounds the crashes; 0 means that only those after the window are bounded.
	total int
}

const (
	resendDaemons = 5
	// bothReportAttempts is the longest duration of a report whose first attempt is
	// lost.
	bothReportAttempts = firstReportTimeout + reportTimeout
)

var resendCases = []resendCase{
	{name: "links work", disturb: func(*cluster, []string) {}, window: 20 * time.Millisecond},
	{name: "links become unresponsive", disturb: func(c *cluster, daemons []string) { c.blackholeDaemonLinks(daemons) }, window: bothReportAttempts},
	{name: "links are cut", disturb: cutLinks, window: bothReportAttempts + resendDaemons*reportInterval},
	{name: "no daemon reaches a peer", disturb: cutAllLinks, total: maxEnginesCrashed * resendDaemons},
}

// cutLinks cuts a few links, so that each daemon still reaches every peer at least
// through a third daemon.
func cutLinks(c *cluster, daemons []string) {
	for _, i := range c.rng.Perm(len(daemons))[:2] {
		c.net.Block(daemons[i], daemons[(i+1)%len(daemons)])
	}
}

// cutAllLinks cuts all links between the daemons.
func cutAllLinks(c *cluster, daemons []string) {
	for i, a := range daemons {
		for _, b := range daemons[:i] {
			c.net.Block(a, b)
		}
	}
}

// Guards against a request that crashes one engine after another because its caller
// sends it repeatedly through all daemons at once, and against other requests that are
// lost with it.
func TestConcurrentResendsOfCrashingRequest(t *testing.T) {
	for _, tc := range resendCases {
		t.Run(tc.name, func(t *testing.T) {
			forSeeds(t, func(c *cluster) { resendEverywhere(c, tc) })
		})
	}
}

// resendEverywhere sends a crashing request three times to all daemons, among other
// requests, and checks the number of engines that it crashes.
func resendEverywhere(c *cluster, tc resendCase) {
	opts := standin.EngineOptions{PrefillRate: []float64{7, 70, 700, 0}[c.rng.IntN(4)]}
	engines, daemons := c.startSettled(6, resendDaemons, opts)
	faults := standin.EngineFaults{DownMS: []int64{500, 1000, 3000}[c.rng.IntN(3)]}
	for _, e := range engines {
		c.engines[e].SetFaults(faults)
	}
	tc.disturb(c, daemons)
	prompt := standin.CrashMarker + " tokens=20"
	var group sync.WaitGroup
	c.sendRefusableRequests(&group, daemons, 60, 3*time.Second)
	time.Sleep(time.Duration(c.rng.IntN(1000)) * time.Millisecond)
	for range 3 {
		for _, d := range daemons {
			delay := time.Duration(c.rng.IntN([]int{1, 20, 800}[c.rng.IntN(3)])) * time.Millisecond
			group.Go(func() {
				time.Sleep(delay)
				c.complete(d, prompt)
			})
		}
		time.Sleep(time.Duration(c.rng.IntN(2000)) * time.Millisecond)
	}
	group.Wait()
	// A trial that was delayed until now may run with this resend.
	c.complete(daemons[0], prompt)
	early, late := c.crashesByStartTime(prompt, tc.window)
	c.t.Logf("engines crashed: %d by attempts that started within %s of the first crash, %d by later ones", early, tc.window, late)
	bound := max(maxEnginesCrashed, early)
	if tc.total > 0 {
		bound = tc.total
	}
	if early+late > bound {
		c.t.Errorf("the request crashed %d engines, want at most %d", early+late, bound)
	}
}

// crashesByStartTime counts the crashes by attempts that started within window after
// the first crash, and those by later attempts.
func (c *cluster) crashesByStartTime(prompt string, window time.Duration) (early, late int) {
	var all []standin.RequestCrash
	for _, e := range c.engines {
		all = append(all, e.CrashesByPrompt(prompt)...)
	}
	if len(all) == 0 {
		return 0, 0
	}
	firstCrash := slices.MinFunc(all, func(a, b standin.RequestCrash) int { return a.Crashed.Compare(b.Crashed) })
	for _, crash := range all {
		if crash.Started.After(firstCrash.Crashed.Add(window)) {
			late++
		} else {
			early++
		}
	}
	return early, late
}

// sendRefusableRequests starts requests that crash no engine. Unlike those of
// sendNonCrashingRequests they may be refused, as overloaded before they run, or as
// quarantined if they were in flight at two crashes. All others must be answered in full.
func (c *cluster) sendRefusableRequests(group *sync.WaitGroup, daemons []string, count int, period time.Duration) {
	c.sendOverPeriod(group, daemons, "bystander", count, period, func(_ int, daemon, prompt string) {
		got := c.complete(daemon, prompt)
		switch {
		case got.status == http.StatusOK && got.text() == standin.Answer(testModel, prompt, 4000):
		case got.refusal != nil && got.refusal.Code == refusal.Overloaded && got.refusal.Outcome == refusal.NotRun:
		case got.refusal != nil && got.refusal.Code == refusal.Quarantined:
			c.t.Logf("%q was in flight at two crashes", prompt)
		default:
			c.t.Errorf("%q is answered with status %d: %s", prompt, got.status, got.body)
		}
	})
}

// blockBetween cuts the links between the daemons of different groups.
func (c *cluster) blockBetween(groups ...[]string) {
	for i, group := range groups {
		for _, other := range groups[:i] {
			for _, a := range group {
				for _, b := range other {
					c.net.Block(a, b)
				}
			}
		}
	}
}

// Guards against two trials of one suspect, which two groups of daemons run because they
// lose contact for a few seconds, and against other requests that fail because the
// suspect is delayed.
func TestSuspectIsDelayedWhilePeersAreUnreachable(t *testing.T) {
	forSeeds(t, func(c *cluster) {
		engines, daemons := c.startSettled(6, 4, standin.EngineOptions{})
		for _, e := range engines {
			c.engines[e].SetFaults(standin.EngineFaults{DownMS: 1000})
		}
		c.blockBetween(daemons[:2], daemons[2:])
		prompt := standin.CrashMarker + " tokens=20"
		var group sync.WaitGroup
		c.sendNonCrashingRequests(&group, daemons, 6, time.Second)
		for i, d := range []string{daemons[0], daemons[2], daemons[1], daemons[3]} {
			group.Go(func() { c.complete(d, prompt) })
			time.Sleep(time.Duration(300+c.rng.IntN(400*(i+1))) * time.Millisecond)
		}
		for _, a := range daemons[:2] {
			for _, b := range daemons[2:] {
				c.net.Unblock(a, b)
			}
		}
		group.Wait()
		if n := c.crashedEngines(prompt); n > maxEnginesCrashed {
			c.t.Errorf("the request crashed %d engines, want at most %d", n, maxEnginesCrashed)
		}
	})
}
