package daemon

import (
	"expvar"
	"net/http"
)

// Metrics holds every counter of a daemon. They are served at /debug/vars below
// "bergamotd".
type Metrics struct {
	vars *expvar.Map

	// Requests counts requests that were accepted.
	Requests expvar.Int
	// Answered counts whole answers.
	Answered expvar.Int
	// Refused counts refusals by code.
	Refused expvar.Map
	// Attempts counts attempts at engines; Resumed counts those after the first.
	Attempts expvar.Int
	Resumed  expvar.Int
	// Admitted counts requests that were admitted to the data centre's engines,
	// Spilled those that were sent to another one; Waiting is the queue's length.
	Admitted expvar.Int
	Spilled  expvar.Int
	Waiting  expvar.Int
	// InFlightBytes is what the bodies of all requests that wait or run take of
	// limits.in_flight_bytes.
	InFlightBytes expvar.Int
	// ChunksDropped counts late and repeated chunks.
	ChunksDropped expvar.Int
	// ChunksReordered counts chunks that waited for an earlier one, ChunksMissing
	// attempts that were resumed because a chunk was lost.
	ChunksReordered expvar.Int
	ChunksMissing   expvar.Int
	// SilentConnections counts attempts without progress within the deadline.
	SilentConnections expvar.Int
	// Stalled counts attempts that brought heartbeats and no tokens.
	Stalled expvar.Int
	// Cancels counts cancellations sent to engines; CancelsFailed those that were
	// not confirmed.
	Cancels       expvar.Int
	CancelsFailed expvar.Int
	// CallersSilent counts callers that took no bytes within the write deadline.
	CallersSilent expvar.Int
	// RetriesDelayed counts retries that waited for their budget.
	RetriesDelayed expvar.Int
	// CrashSuspects counts digests in flight at a crash of an engine, Trials their
	// isolated runs, QuarantineRefusals the requests refused as quarantined.
	CrashSuspects      expvar.Int
	Trials             expvar.Int
	QuarantineRefusals expvar.Int
	// SuspectsHeld counts suspects that waited for daemons that could not be asked.
	SuspectsHeld expvar.Int
	// QuarantineEntries is the number of digests in the table, QuarantineEvicted
	// the number that was forgotten because the table was full.
	QuarantineEntries expvar.Int
	QuarantineEvicted expvar.Int
	// QuarantineReports and QuarantineReportsFailed count reports to peers.
	QuarantineReports       expvar.Int
	QuarantineReportsFailed expvar.Int
	// LogErrors counts failed operations on the log service.
	LogErrors expvar.Int
	// ProbesFailed counts probes that neither the daemon itself nor a relay got an
	// answer to.
	ProbesFailed expvar.Int
	// ClaimAppends counts appends of claim records, ClaimCheckpoints checkpoints.
	ClaimAppends     expvar.Int
	ClaimCheckpoints expvar.Int
	// ClaimCalls is the number of claimed calls that run or wait to be recorded.
	ClaimCalls expvar.Int
	// ClaimEntries is the number of remembered keys and withdrawn claims by stream.
	ClaimEntries expvar.Map
	// OrderCopiesOpen is the number of copies of orders that may still reach engines
	// that ignore fencing; such an engine takes no other change until it restarts.
	OrderCopiesOpen expvar.Int
	// OrdersWithdrawn counts orders that this daemon withdrew because an engine
	// refused them or failed to carry them out.
	OrdersWithdrawn expvar.Int
	// Revision is the configuration revision in force.
	Revision expvar.Int
	// ConfigurationLost is 1 while configuration records that no daemon has read are
	// lost and an operator has to publish with --after-loss, else 0.
	ConfigurationLost expvar.Int
}

func newMetrics() *Metrics {
	m := &Metrics{vars: new(expvar.Map).Init()}
	m.Refused.Init()
	m.vars.Set("requests", &m.Requests)
	m.vars.Set("answered", &m.Answered)
	m.vars.Set("refused", &m.Refused)
	m.vars.Set("attempts", &m.Attempts)
	m.vars.Set("resumed", &m.Resumed)
	m.vars.Set("admitted", &m.Admitted)
	m.vars.Set("spilled", &m.Spilled)
	m.vars.Set("waiting", &m.Waiting)
	m.vars.Set("in_flight_bytes", &m.InFlightBytes)
	m.vars.Set("chunks_dropped", &m.ChunksDropped)
	m.vars.Set("chunks_reordered", &m.ChunksReordered)
	m.vars.Set("chunks_missing", &m.ChunksMissing)
	m.vars.Set("silent_connections", &m.SilentConnections)
	m.vars.Set("stalled", &m.Stalled)
	m.vars.Set("cancels", &m.Cancels)
	m.vars.Set("cancels_failed", &m.CancelsFailed)
	m.vars.Set("callers_silent", &m.CallersSilent)
	m.vars.Set("retries_delayed", &m.RetriesDelayed)
	m.vars.Set("crash_suspects", &m.CrashSuspects)
	m.vars.Set("trials", &m.Trials)
	m.vars.Set("suspects_held", &m.SuspectsHeld)
	m.vars.Set("quarantine_refusals", &m.QuarantineRefusals)
	m.vars.Set("quarantine_entries", &m.QuarantineEntries)
	m.vars.Set("quarantine_evicted", &m.QuarantineEvicted)
	m.vars.Set("quarantine_reports", &m.QuarantineReports)
	m.vars.Set("quarantine_reports_failed", &m.QuarantineReportsFailed)
	m.vars.Set("log_errors", &m.LogErrors)
	m.vars.Set("probes_failed", &m.ProbesFailed)
	m.vars.Set("claim_appends", &m.ClaimAppends)
	m.vars.Set("claim_checkpoints", &m.ClaimCheckpoints)
	m.ClaimEntries.Init()
	m.vars.Set("claim_entries", &m.ClaimEntries)
	m.vars.Set("claim_calls", &m.ClaimCalls)
	m.vars.Set("order_copies_open", &m.OrderCopiesOpen)
	m.vars.Set("orders_withdrawn", &m.OrdersWithdrawn)
	m.vars.Set("revision", &m.Revision)
	m.vars.Set("configuration_lost", &m.ConfigurationLost)
	return m
}

// ServeHTTP writes the metrics as JSON, beside the ones that expvar publishes
// for the process.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	all := new(expvar.Map).Init()
	expvar.Do(func(kv expvar.KeyValue) { all.Set(kv.Key, kv.Value) })
	all.Set("bergamotd", m.vars)
	// A failed write means that the client is gone.
	_, _ = w.Write([]byte(all.String()))
}
