package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/crashes"
)

// trialPeer passes the questions of a daemon to the trials of another one.
type trialPeer struct{ trials *trials }

func (p trialPeer) Call(ctx context.Context, method string, params, result any) error {
	if method != methodTrial {
		return errors.New("unexpected method " + method)
	}
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	out, err := p.trials.handle(ctx, data)
	if err != nil {
		return err
	}
	*result.(*trialResult) = out.(trialResult)
	return nil
}

// trialFleet returns daemons that know each other and a blocked part whose trial is due.
func trialFleet(count int, trait crashes.Trait, nextTrial time.Time) []*Gateway {
	fleet := make([]*Gateway, count)
	for i := range fleet {
		fleet[i] = newTestGateway(RetryLimits{})
		fleet[i].peers.name = fmt.Sprint("d", i)
		fleet[i].crashes.restore([]crashes.Block{{Trait: trait, Crashes: testCrashes, LastCrash: time.Now().Add(-time.Minute), NextTrial: nextTrial}}, time.Now())
	}
	for i, g := range fleet {
		for j, o := range fleet {
			if i != j {
				g.peers.links[o.peers.name] = &peerLink{name: o.peers.name, client: trialPeer{o.trials}}
			}
		}
	}
	return fleet
}

// Guards against a blocked trait that each daemon tries by itself, so that it crashes one runner for
// each of them, and against one that is never tried.
func TestOneTrialInTheFleet(t *testing.T) {
	trait := crashes.PartTrait("m", "suspect")
	for _, c := range []struct {
		name string
		// due is the time until the trial is due.
		due  time.Duration
		want int
	}{{"due", -time.Second, 1}, {"not due", time.Hour, 0}} {
		t.Run(c.name, func(t *testing.T) {
			granted := 0
			for _, g := range trialFleet(7, trait, time.Now().Add(c.due)) {
				for range 3 {
					if g.trials.begin(t.Context(), trait) {
						granted++
					}
				}
			}
			if granted != c.want {
				t.Errorf("%d requests may be tried, want %d", granted, c.want)
			}
		})
	}
	t.Run("owner does not respond", func(t *testing.T) {
		fleet := trialFleet(7, trait, time.Now().Add(-time.Second))
		granted := 0
		for _, g := range fleet {
			owner := g.peers.trialOwner(trait)
			if owner == nil {
				continue
			}
			for _, l := range g.peers.links {
				if l.client == owner {
					l.backoff = time.Second
				}
			}
			if g.trials.begin(t.Context(), trait) {
				granted++
			}
		}
		if granted != 1 {
			t.Errorf("%d requests may be tried, want 1", granted)
		}
	})
}

// Guards against a trial that crashes a second runner, because the request is sent again, and against a
// request that is tried after it was sent.
func TestTrialsAreNotRetried(t *testing.T) {
	trait := crashes.PartTrait("m", "suspect")
	g := trialFleet(1, trait, time.Now().Add(-time.Second))[0]
	c := newTestCall(g)
	c.traits = crashes.Traits{Parts: []crashes.Trait{trait}}
	if !c.mayRun(t.Context()) || c.trial != trait {
		t.Fatal("the request is not tried")
	}
	if !c.mayRun(t.Context()) {
		t.Error("the trial is refused before it is sent")
	}
	if c.canRetryAfterExecution() || c.mayRetry(t.Context(), errInterrupted) {
		t.Error("the trial may be sent again")
	}
	other := newTestCall(g)
	other.traits = c.traits
	if other.mayRun(t.Context()) {
		t.Error("a second request runs during the trial")
	}
	g.crashes.recordCompletion(c.traits, time.Now())
	if !other.mayRun(t.Context()) {
		t.Error("requests are refused after the trial has completed")
	}
}
