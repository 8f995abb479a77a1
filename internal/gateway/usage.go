package gateway

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/duties"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/usage"
)

const (
	methodUsage = "gateway.usage"
	// usageLeaseKey is the key of the lease for usage reports, beside those of the data centres.
	usageLeaseKey = "duty/usage"
	// usageStepInterval is how often a daemon that may report usage checks whether a report is due.
	usageStepInterval = 250 * time.Millisecond
)

// usageCounts counts the requests of organisations and reports them if this daemon holds the duty. The methods that are
// called for each request or message do nothing if it is nil.
type usageCounts struct {
	log     *zap.Logger
	clock   port.Clock
	windows usage.Windows
	ledger  *usage.Ledger
	peers   *peers
	// isCandidate reports whether this daemon may hold the duty, so that not all daemons compete for the lease.
	isCandidate func() bool
	reporter    *duties.UsageReporter
	// startedAt is the time of day, and startedOn the reading of clock, when the process started. Windows follow clock
	// from there on, because the time of day of a VM may jump.
	startedAt time.Time
	startedOn time.Duration

	// collecting is the window that is being collected, answered the daemons that have responded. They are used by the
	// goroutine of the reporter only.
	collecting int64
	answered   map[string]bool
}

func newUsageCounts(s Settings, deps Dependencies, p *peers, isCandidate func() bool) *usageCounts {
	u := &usageCounts{
		log: p.log, clock: deps.Clock, windows: usage.Windows{Length: s.Duties.UsageWindow}, peers: p, isCandidate: isCandidate,
		ledger:    usage.NewLedger(usage.Source{Daemon: p.name, Started: p.started}),
		startedAt: time.Now(), startedOn: deps.Clock.Now(), answered: map[string]bool{},
	}
	l := newOrderLease(deps.Store, deps.Clock, usageLeaseKey, s.Name+"@"+s.Listen.Peers, s.OrderLease)
	l.firstStart = s.FirstStart
	u.reporter = &duties.UsageReporter{
		Log: p.log, Store: deps.Store, Duties: deps.Duties, Lease: l, Holder: s.Name, Ledger: u.ledger, Windows: u.windows,
		Late: s.Duties.UsageLate, Collect: u.collect,
	}
	return u
}

// now returns the true time as far as this process knows it.
func (u *usageCounts) now() time.Time { return u.startedAt.Add(u.clock.Now() - u.startedOn) }

// run makes reports until ctx is done.
func (u *usageCounts) run(ctx context.Context) {
	ticker := time.NewTicker(usageStepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if u.isCandidate() {
			u.reporter.Step(ctx, u.now())
		}
	}
}

// countUsage counts the request for its organisation when a runner has begun it.
func (c *call) countUsage() {
	u := c.gateway.usage
	if u == nil || c.usageCounted || c.request.Organisation == "" {
		return
	}
	c.usageCounted = true
	u.ledger.Count(u.windows.At(u.now()), c.request.Organisation)
}

// recent returns what this process has counted in the current window and the one before.
func (u *usageCounts) recent() []usage.Report {
	if u == nil {
		return nil
	}
	return u.ledger.Own(u.windows.At(u.now()) - 1)
}

// all returns what this process has counted in all windows that are kept.
func (u *usageCounts) all() []usage.Report {
	if u == nil {
		return nil
	}
	return u.ledger.Own(0)
}

// merge adds what a peer reports.
func (u *usageCounts) merge(reports []usage.Report) {
	if u != nil && len(reports) > 0 {
		u.ledger.Merge(u.windows.At(u.now())+1, reports)
	}
}

// usageQuestion asks a daemon for what it knows of a window.
type usageQuestion struct {
	Window int64 `json:"window"`
}

func (p *peers) handleUsage(_ context.Context, params json.RawMessage) (any, error) {
	var q usageQuestion
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, err
	}
	if p.usage == nil {
		return []usage.Report{}, nil
	}
	return p.usage.ledger.Known(q.Window), nil
}

// collect asks all daemons that have not responded yet for what they know of a window. It reports whether all have
// responded.
func (u *usageCounts) collect(ctx context.Context, window int64) bool {
	if u.collecting != window {
		u.collecting = window
		clear(u.answered)
		u.readMembers(ctx)
	}
	var missing []*peerLink
	var limits []time.Duration
	u.peers.mu.Lock()
	for name, l := range u.peers.links {
		if !u.answered[name] {
			missing, limits = append(missing, l), append(limits, l.callLimit().Current())
		}
	}
	u.peers.mu.Unlock()
	responded := make([]bool, len(missing))
	var group sync.WaitGroup
	for i, l := range missing {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, limits[i])
			defer cancel()
			began := time.Now()
			var reports []usage.Report
			err := l.client.Call(ctx, methodUsage, usageQuestion{Window: window}, &reports)
			u.peers.recordCallResult(l, err, time.Since(began))
			if err == nil {
				u.merge(reports)
				responded[i] = true
			}
		})
	}
	group.Wait()
	complete := true
	for i, l := range missing {
		u.answered[l.name] = responded[i]
		complete = complete && responded[i]
	}
	return complete
}

// readMembers adds the daemons that this one has not heard of yet, which may serve clients all the same.
func (u *usageCounts) readMembers(ctx context.Context) {
	records, _, err := u.peers.store.Newest(ctx, port.TopicDaemons)
	if err != nil {
		u.log.Warn("registry of daemons was not read before usage is collected", zap.Error(err))
		return
	}
	u.peers.applyMembers(records)
}

// vars returns the counts of the current window for the metrics.
func (u *usageCounts) vars() any {
	window := u.windows.At(u.now())
	return map[string]any{"window": window, "known": u.ledger.Total(window)}
}
