package daemon

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// methodTokenReport returns to the lease holder how many tokens a daemon has admitted.
const methodTokenReport = "demand.work"

// tokenReportInterval is how often the lease holder collects the token reports. The
// fast average of the role planner has a half-life of 10 s.
const tokenReportInterval = 5 * time.Second

// tokenTotal is the number of tokens of one model in a pool since a daemon started.
type tokenTotal struct {
	Pool  string `json:"pool"`
	Model string `json:"model"`
	// Prompt counts the prompt tokens of admitted requests. Output counts the
	// output tokens of the requests among them that have ended.
	Prompt int64 `json:"prompt"`
	Output int64 `json:"output"`
}

// tokenReport is the response to methodTokenReport.
type tokenReport struct {
	// Incarnation changes when the daemon restarts and its totals start at zero.
	Incarnation string       `json:"incarnation"`
	Totals      []tokenTotal `json:"totals"`
}

// tokenCounter counts the tokens of the requests that a daemon admits. It is safe
// for concurrent use.
type tokenCounter struct {
	mu     sync.Mutex
	totals map[queueKey]*tokenTotal
}

func newTokenCounter() *tokenCounter { return &tokenCounter{totals: map[queueKey]*tokenTotal{}} }

// add adds prompt and output tokens to the total of a model in a pool.
func (c *tokenCounter) add(pool, model string, prompt, output int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := queueKey{pool: pool, model: model}
	t, ok := c.totals[key]
	if !ok {
		t = &tokenTotal{Pool: pool, Model: model}
		c.totals[key] = t
	}
	t.Prompt += int64(prompt)
	t.Output += int64(output)
}

// report returns the current totals.
func (c *tokenCounter) report(incarnation string) tokenReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := tokenReport{Incarnation: incarnation}
	for _, t := range c.totals {
		out.Totals = append(out.Totals, *t)
	}
	return out
}

// handleTokenReport handles methodTokenReport.
func (o *orders) handleTokenReport(context.Context, json.RawMessage) (any, error) {
	return o.tokenCounter.report(o.daemon.incarnation), nil
}

// collectTokenReports requests the token reports of the data centre's daemons and
// passes the increase since the last collection to the role planner. The tokens of
// a daemon that does not respond are included the next time it responds.
func (o *orders) collectTokenReports(ctx context.Context) {
	now := time.Now()
	if now.Sub(o.lastTokenCollection) < tokenReportInterval {
		return
	}
	o.lastTokenCollection = now
	daemons := o.daemon.fleet.daemonsIn(o.daemon.settings.DataCentre)
	reports := make([]tokenReport, len(daemons))
	var group sync.WaitGroup
	for i, vm := range daemons {
		group.Go(func() { reports[i] = o.queryTokenReport(ctx, vm) })
	}
	group.Wait()
	increases := map[queueKey]tokenTotal{}
	for i, vm := range daemons {
		if reports[i].Incarnation != "" {
			o.addIncrease(increases, vm.ID, reports[i])
		}
	}
	o.rolePlanner.observe(now, increases)
}

// addIncrease adds the difference between a daemon's report and its previous one to
// increases. After a restart of the daemon, the whole report counts.
func (o *orders) addIncrease(increases map[queueKey]tokenTotal, vmID string, report tokenReport) {
	previous, known := o.lastTokenReports[vmID]
	o.lastTokenReports[vmID] = report
	for _, t := range report.Totals {
		key := queueKey{pool: t.Pool, model: t.Model}
		sum := increases[key]
		// The first report of a daemon covers an unknown time, so its tokens are
		// not counted.
		if known {
			sum.Prompt += t.Prompt
			sum.Output += t.Output
		}
		increases[key] = sum
	}
	if !known || previous.Incarnation != report.Incarnation {
		return
	}
	for _, t := range previous.Totals {
		key := queueKey{pool: t.Pool, model: t.Model}
		sum := increases[key]
		sum.Prompt -= t.Prompt
		sum.Output -= t.Output
		increases[key] = sum
	}
}

// queryTokenReport returns the token report of one daemon. If the call fails, the
// report has no incarnation.
func (o *orders) queryTokenReport(ctx context.Context, vm port.VM) tokenReport {
	if vm.ID == o.daemon.settings.Name {
		return o.tokenCounter.report(o.daemon.incarnation)
	}
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	var out tokenReport
	if err := o.daemon.deps.Peers(vm.PeerAddress).Call(ctx, methodTokenReport, struct{}{}, &out); err != nil {
		return tokenReport{}
	}
	return out
}
