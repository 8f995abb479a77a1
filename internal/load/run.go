package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"bergamotsill.example/bergamotsill/internal/adapter/clock"
	"bergamotsill.example/bergamotsill/internal/profile"
	"bergamotsill.example/bergamotsill/internal/standin"
)

const (
	// progressInterval is the interval between progress lines.
	progressInterval = 2 * time.Second
	// executionsTimeout bounds one request for a service's executions.
	executionsTimeout = 5 * time.Second
)

// Options configures a Runner.
type Options struct {
	// Daemons and Services are host:port addresses.
	Daemons       []string
	Services      []string
	Configuration *profile.Document
	Traffic       *Traffic
	Seed          uint64
	// Out is the destination of progress lines.
	Out io.Writer
}

// Runner sends the calls of one traffic description.
type Runner struct {
	opts      Options
	client    *http.Client
	collector collector
	started   time.Time
	calls     sync.WaitGroup
}

// NewRunner returns a Runner.
func NewRunner(opts Options) *Runner {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	return &Runner{opts: opts, client: &http.Client{Transport: transport}}
}

// Run sends the calls of all phases, waits for every call to end and compares the
// results with the services' executions. It returns the results in the order in which
// the calls ended.
func (r *Runner) Run(ctx context.Context) (Totals, []Result, error) {
	r.started = time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go r.printProgress(ctx)
	var kinds sync.WaitGroup
	for i := range r.opts.Traffic.Kinds {
		kinds.Go(func() { r.sendKind(ctx, i) })
	}
	kinds.Wait()
	r.calls.Wait()
	executions, err := r.executions(ctx)
	if err != nil {
		return Totals{}, nil, err
	}
	results := r.collector.results
	return Check(results, executions), results, nil
}

// sendKind starts the calls of one kind at exponentially distributed intervals. A call
// does not wait for earlier ones to end.
func (r *Runner) sendKind(ctx context.Context, index int) {
	kind := &r.opts.Traffic.Kinds[index]
	rng := rand.New(rand.NewPCG(r.opts.Seed, uint64(index)))
	for serial := 0; ; serial++ {
		phase := r.opts.Traffic.PhaseAt(time.Since(r.started))
		if phase == nil || ctx.Err() != nil {
			return
		}
		c := &caller{
			client:  r.client,
			daemons: r.opts.Daemons,
			rng:     rand.New(rand.NewPCG(rng.Uint64(), uint64(serial))),
			kind:    kind,
			profile: findProfile(r.opts.Configuration, kind.Profile),
			id:      fmt.Sprintf("%s-%d", kind.Name, serial),
			serial:  serial,
		}
		r.collector.begin()
		r.calls.Go(func() { r.collector.add(c.run(ctx)) })
		gap := rng.ExpFloat64() / phase.Rate(kind)
		clock.Sleep(ctx, time.Duration(gap*float64(time.Second)))
	}
}

// printProgress prints a progress line at each progressInterval.
func (r *Runner) printProgress(ctx context.Context) {
	for {
		clock.Sleep(ctx, progressInterval)
		if ctx.Err() != nil {
			return
		}
		elapsed := time.Since(r.started)
		name := "draining"
		if p := r.opts.Traffic.PhaseAt(elapsed); p != nil {
			name = p.Name
		}
		totals, running := r.collector.progress()
		fmt.Fprintf(r.opts.Out, "%3.0fs %-18s answered=%d not_run=%d unknown=%d lost=%d running=%d\n",
			elapsed.Seconds(), name, totals.Answered, totals.NotRun, totals.Unknown, totals.Lost, running)
	}
}

// executions returns how often the services executed each key, in total.
func (r *Runner) executions(ctx context.Context) (map[string]int, error) {
	counts := map[string]int{}
	for _, address := range r.opts.Services {
		list, err := r.executionsOf(ctx, address)
		if err != nil {
			return nil, trace.Wrap(err, "read executions of service %s", address)
		}
		for _, e := range list {
			if e.Key != "" {
				counts[e.Key]++
			}
		}
	}
	return counts, nil
}

func (r *Runner) executionsOf(ctx context.Context, address string) ([]standin.Execution, error) {
	ctx, cancel := context.WithTimeout(ctx, executionsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/executions", nil)
	if err != nil {
		return nil, err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var list []standin.Execution
	return list, json.NewDecoder(resp.Body).Decode(&list)
}
