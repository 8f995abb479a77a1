package daemon

import (
	"expvar"
	"net/http"
)

// Metrics holds the metrics of a daemon. They are served at /debug/vars below
// "bergamotd".
type Metrics struct {
	vars *expvar.Map

	// Requests counts calls that passed the readiness check and whose body was read.
	Requests expvar.Int
	// Answered counts calls that received a complete response.
	Answered expvar.Int
	// Refused counts calls that failed, by the code of the refusal.
	Refused expvar.Map
	// Handovers counts calls handed to other daemons: answered there, declined or failed; and those
	// received from other daemons.
	Handovers expvar.Map
	// Attempts counts attempts at engines.
	Attempts expvar.Int
	// Resumed counts attempts at engines after the first attempt of a request.
	Resumed expvar.Int
	// Admitted counts requests that were admitted to engines of the local data centre.
	Admitted expvar.Int
	// Spilled counts requests that overflowed to another data centre.
	Spilled expvar.Int
	// Waiting is the number of requests in the admission queues.
	Waiting expvar.Int
	// InFlightBytes is the number of bytes reserved for the bodies of all waiting and
	// running requests. It is bounded by limits.in_flight_bytes.
	InFlightBytes expvar.Int
	// ChunksDropped counts chunks that were dropped because they were late, repeated or
	// malformed.
	ChunksDropped expvar.Int
	// ChunksReordered counts chunks that were buffered until an earlier chunk arrived.
	ChunksReordered expvar.Int
	// ChunksMissing counts attempts that failed because a chunk was lost.
	ChunksMissing expvar.Int
	// SilentConnections counts attempts that failed because their connection made no
	// progress within the deadline.
	SilentConnections expvar.Int
	// Stalled counts attempts that failed because they received heartbeats but no tokens.
	Stalled expvar.Int
	// SilencesAwaited counts attempts that continued without progress because no replacement
	// was available.
	SilencesAwaited expvar.Int
	// SoftwareMismatches counts attempts that failed because the engine runs another software
	// version than the one that began the response.
	SoftwareMismatches expvar.Int
	// SoftwareRestarts counts responses that started anew, before anything was sent, because no
	// engine of their software version could continue them.
	SoftwareRestarts expvar.Int
	// SoftwareGone counts streams that ended incomplete because no engine runs the software
	// version that began them.
	SoftwareGone expvar.Int
	// Cancels counts cancellations sent to engines.
	Cancels expvar.Int
	// CancelsFailed counts cancellations that the engine did not confirm.
	CancelsFailed expvar.Int
	// CallersSilent counts callers that accepted no bytes within the write deadline.
	CallersSilent expvar.Int
	// RetriesDelayed counts retries that were delayed because their retry budget was
	// exhausted.
	RetriesDelayed expvar.Int
	// CrashSuspects counts digests that became suspect or quarantined because they were
	// in flight at an engine crash.
	CrashSuspects expvar.Int
	// Trials counts isolated runs of suspects.
	Trials expvar.Int
	// QuarantineRefusals counts requests that were refused as quarantined.
	QuarantineRefusals expvar.Int
	// SuspectsHeld counts suspects that were delayed because some daemons could not be
	// queried.
	SuspectsHeld expvar.Int
	// QuarantineEntries is the number of digests in the quarantine table.
	QuarantineEntries expvar.Int
	// QuarantineEvicted is the number of digests that were removed because the quarantine
	// table was full.
	QuarantineEvicted expvar.Int
	// QuarantineReports counts reports that were delivered to peers.
	QuarantineReports expvar.Int
	// QuarantineReportsFailed counts reports that could not be delivered to a peer.
	QuarantineReportsFailed expvar.Int
	// LogErrors counts failed operations on the log service.
	LogErrors expvar.Int
	// ProbesFailed counts probes for which neither the direct probe nor a relay received
	// a response.
	ProbesFailed expvar.Int
	// ClaimAppends counts appends of claim records.
	ClaimAppends expvar.Int
	// ClaimCheckpoints counts checkpoints of claim streams.
	ClaimCheckpoints expvar.Int
	// ClaimCalls is the number of claimed calls that are running or whose outcome is not
	// yet recorded.
	ClaimCalls expvar.Int
	// ClaimEntries is the number of stored keys and withdrawn claims, by stream.
	ClaimEntries expvar.Map
	// OrderCopiesOpen is the number of copies of orders that may still arrive at engines
	// that ignore fencing. Such an engine receives no other change until it restarts.
	OrderCopiesOpen expvar.Int
	// OrdersWithdrawn counts orders that this daemon withdrew because an engine refused
	// them or failed to execute them.
	OrdersWithdrawn expvar.Int
	// Revision is the configuration revision in force.
	Revision expvar.Int
	// ConfigurationLost is 1 while configuration records that no daemon has read are
	// lost and an operator has to publish with --after-loss, and 0 otherwise.
	ConfigurationLost expvar.Int
}

func newMetrics() *Metrics {
	m := &Metrics{vars: new(expvar.Map).Init()}
	m.Refused.Init()
	m.Handovers.Init()
	m.vars.Set("requests", &m.Requests)
	m.vars.Set("answered", &m.Answered)
	m.vars.Set("refused", &m.Refused)
	m.vars.Set("handovers", &m.Handovers)
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
	m.vars.Set("silences_awaited", &m.SilencesAwaited)
	m.vars.Set("software_mismatches", &m.SoftwareMismatches)
	m.vars.Set("software_restarts", &m.SoftwareRestarts)
	m.vars.Set("software_gone", &m.SoftwareGone)
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

// ServeHTTP writes the metrics as JSON, together with those that expvar publishes for the
// process.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	all := new(expvar.Map).Init()
	expvar.Do(func(kv expvar.KeyValue) { all.Set(kv.Key, kv.Value) })
	all.Set("bergamotd", m.vars)
	// A failed write means that the client disconnected.
	_, _ = w.Write([]byte(all.String()))
}
