package daemon

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// methodTokenReport reports a daemon's admitted work to the lease holder.
const methodTokenReport = "demand.work"

// tokenReportInterval is how often the lease holder asks for the admitted work. The fast
// average of the role planner has a half-life of 10 s.
const tokenReportInterval = 5 * time.Second

// tokenTotal is the work of one model in a pool since a daemon started.
type tokenTotal struct {
	Pool  string `json:"pool"`
	Model string `json:"model"`
	// Prompt counts the prompt tokens of admitted requests, Output the tokens of
	// their answers so far as they ended.
	Prompt int64 `json:"prompt"`
	Output int64 `json:"output"`
}

// tokenReport is the answer to methodDemandWork.
type tokenReport struct {
	// Incarnation tells when the totals started again.
	Incarnation string       `json:"incarnation"`
	Totals      []tokenTotal `json:"totals"`
}

// tokenCounter adds up the admitted work of a daemon.
type tokenCounter struct {
	mu     sync.Mutex
	totals map[queueKey]*tokenTotal
}

func newTokenCounter() *tokenCounter { return &tokenCounter{totals: map[queueKey]*tokenTotal{}} }

func (w *tokenCounter) add(pool, model string, prompt, output int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := queueKey{pool: pool, model: model}
	t, ok := w.totals[key]
	if !ok {
		t = &tokenTotal{Pool: pool, Model: model}
		w.totals[key] = t
	}
	t.Prompt += int64(prompt)
	t.Output += int64(output)
}

func (w *tokenCounter) report(incarnation string) tokenReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := tokenReport{Incarnation: incarnation}
	for _, t := range w.totals {
		out.Totals = append(out.Totals, *t)
	}
	return out
}

func (o *orders) serveTokenReport(context.Context, json.RawMessage) (any, error) {
	return o.tokenCounter.report(o.daemon.incarnation), nil
}

// collectTokenReports asks the daemons of the data centre for their work and hands the
// growth since the last time to the role planner. A daemon that does not answer
// counts with what it did when it answers again.
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
	grown := map[queueKey]tokenTotal{}
	for i, vm := range daemons {
		if reports[i].Incarnation != "" {
			o.addIncrease(grown, vm.ID, reports[i])
		}
	}
	o.rolePlanner.observe(now, grown)
}

func (o *orders) addIncrease(grown map[queueKey]tokenTotal, vm string, report tokenReport) {
	before, known := o.lastTokenReports[vm]
	o.lastTokenReports[vm] = report
	for _, t := range report.Totals {
		key := queueKey{pool: t.Pool, model: t.Model}
		sum := grown[key]
		// The work of a daemon seen for the first time belongs to no interval.
		if known {
			sum.Prompt += t.Prompt
			sum.Output += t.Output
		}
		grown[key] = sum
	}
	if !known || before.Incarnation != report.Incarnation {
		return
	}
	for _, t := range before.Totals {
		key := queueKey{pool: t.Pool, model: t.Model}
		sum := grown[key]
		sum.Prompt -= t.Prompt
		sum.Output -= t.Output
		grown[key] = sum
	}
}

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
