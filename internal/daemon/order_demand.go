package daemon

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// methodDemandWork reports a daemon's admitted work to the lease holder.
const methodDemandWork = "demand.work"

// workInterval is how often the lease holder asks for the admitted work. The fast
// average of the role planner has a half-life of 10 s.
const workInterval = 5 * time.Second

// workTotal is the work of one model in a pool since a daemon started.
type workTotal struct {
	Pool  string `json:"pool"`
	Model string `json:"model"`
	// Prompt counts the prompt tokens of admitted requests, Output the tokens of
	// their answers so far as they ended.
	Prompt int64 `json:"prompt"`
	Output int64 `json:"output"`
}

// workReport is the answer to methodDemandWork.
type workReport struct {
	// Incarnation tells when the totals started again.
	Incarnation string      `json:"incarnation"`
	Totals      []workTotal `json:"totals"`
}

// workCounter adds up the admitted work of a daemon.
type workCounter struct {
	mu     sync.Mutex
	totals map[queueKey]*workTotal
}

func newWorkCounter() *workCounter { return &workCounter{totals: map[queueKey]*workTotal{}} }

func (w *workCounter) add(pool, model string, prompt, output int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := queueKey{pool: pool, model: model}
	t, ok := w.totals[key]
	if !ok {
		t = &workTotal{Pool: pool, Model: model}
		w.totals[key] = t
	}
	t.Prompt += int64(prompt)
	t.Output += int64(output)
}

func (w *workCounter) report(incarnation string) workReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := workReport{Incarnation: incarnation}
	for _, t := range w.totals {
		out.Totals = append(out.Totals, *t)
	}
	return out
}

func (o *orders) serveWork(context.Context, json.RawMessage) (any, error) {
	return o.work.report(o.daemon.incarnation), nil
}

// collectWork asks the daemons of the data centre for their work and hands the
// growth since the last time to the role planner. A daemon that does not answer
// counts with what it did when it answers again.
func (o *orders) collectWork(ctx context.Context) {
	now := time.Now()
	if now.Sub(o.workAt) < workInterval {
		return
	}
	o.workAt = now
	daemons := o.daemon.fleet.daemonsIn(o.daemon.settings.DataCentre)
	reports := make([]workReport, len(daemons))
	var group sync.WaitGroup
	for i, vm := range daemons {
		group.Go(func() { reports[i] = o.askWork(ctx, vm) })
	}
	group.Wait()
	grown := map[queueKey]workTotal{}
	for i, vm := range daemons {
		if reports[i].Incarnation != "" {
			o.addGrowth(grown, vm.ID, reports[i])
		}
	}
	o.rolePlanner.observe(now, grown)
}

func (o *orders) addGrowth(grown map[queueKey]workTotal, vm string, report workReport) {
	before, known := o.workSeen[vm]
	o.workSeen[vm] = report
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

func (o *orders) askWork(ctx context.Context, vm port.VM) workReport {
	if vm.ID == o.daemon.settings.Name {
		return o.work.report(o.daemon.incarnation)
	}
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	var out workReport
	if err := o.daemon.deps.Peers(vm.PeerAddress).Call(ctx, methodDemandWork, struct{}{}, &out); err != nil {
		return workReport{}
	}
	return out
}
