package gateway

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// maxLatencyMS is the highest latency that histograms record, in milliseconds.
	maxLatencyMS = 120_000
	// latencySignificantDigits is the number of significant digits of histograms.
	latencySignificantDigits = 2
)

// metrics counts requests by outcome and records their latencies.
type metrics struct {
	requests  *expvar.Map
	inFlight  *expvar.Int
	bodyBytes *expvar.Int
	// incomplete counts requests that were read whole and whose connection ended without a complete
	// response, by incompleteReason.
	incomplete *expvar.Map
	// unframed counts responses with neither a length nor chunks, by whether they "ended" or were "broken" off.
	unframed *expvar.Map
	// panics counts tasks, peer calls and request handlers that panicked.
	panics *expvar.Int
	// leavingRunners counts runners that announced that they leave, quietNotices responses that
	// asked for no requests.
	leavingRunners, quietNotices *expvar.Int
	// takeUps counts the streams that clients take up, by how their origin was found; as "room-awaited"
	// those that waited for room at the engines of their version, and as "version-gone" if no runner of
	// their software version could continue them.
	takeUps *expvar.Map
	// takeUpFailures counts the streams that were taken up and did not go on, by takeUpFailure.
	takeUpFailures *expvar.Map
	// handovers counts requests handed to other daemons: answered there, declined or failed; and those
	// received from other daemons.
	handovers *expvar.Map
	// limitNotices counts responses that named a request limit of their runner.
	limitNotices *expvar.Int
	// unknownKeys counts requests that were rejected because no organisation holds their key.
	unknownKeys *expvar.Int

	mu sync.Mutex
	// firstEventLatency and totalLatency are in milliseconds, by rank. Guarded by mu.
	firstEventLatency map[int]*hdrhistogram.Histogram
	totalLatency      map[int]*hdrhistogram.Histogram
}

func newMetrics() *metrics {
	return &metrics{
		requests: new(expvar.Map).Init(), takeUps: new(expvar.Map).Init(), takeUpFailures: new(expvar.Map).Init(), handovers: new(expvar.Map).Init(), incomplete: new(expvar.Map).Init(), unframed: new(expvar.Map).Init(),
		inFlight: new(expvar.Int), bodyBytes: new(expvar.Int), panics: new(expvar.Int),
		leavingRunners: new(expvar.Int), quietNotices: new(expvar.Int), limitNotices: new(expvar.Int), unknownKeys: new(expvar.Int),
		firstEventLatency: map[int]*hdrhistogram.Histogram{}, totalLatency: map[int]*hdrhistogram.Histogram{},
	}
}

// recordOutcome records the outcome of a finished request. If it was answered, it also records
// the latency of the whole response and of the first event.
func (m *metrics) recordOutcome(r *port.ForwardRoute, outcome string, took, first time.Duration) {
	m.requests.Add(outcome, 1)
	if outcome != "answered" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	recordLatency(m.totalLatency, r.Priority, took)
	recordLatency(m.firstEventLatency, r.Priority, first)
}

func recordLatency(byRank map[int]*hdrhistogram.Histogram, rank int, d time.Duration) {
	h, ok := byRank[rank]
	if !ok {
		h = hdrhistogram.New(1, maxLatencyMS, latencySignificantDigits)
		byRank[rank] = h
	}
	// Values out of range are recorded as the highest latency.
	_ = h.RecordValue(min(maxLatencyMS, max(1, d.Milliseconds())))
}

// quantiles lists the reported quantiles of each histogram, in percent.
var quantiles = map[string]float64{"p50": 50, "p95": 95, "p99": 99}

func summary(byRank map[int]*hdrhistogram.Histogram) map[int]map[string]int64 {
	out := make(map[int]map[string]int64, len(byRank))
	for rank, h := range byRank {
		values := map[string]int64{"count": h.TotalCount(), "max": h.Max()}
		for name, q := range quantiles {
			values[name] = h.ValueAtQuantile(q)
		}
		out[rank] = values
	}
	return out
}

// vars returns all metrics as one expvar map.
func (m *metrics) vars() *expvar.Map {
	v := new(expvar.Map).Init()
	v.Set("requests", m.requests)
	v.Set("take_ups", m.takeUps)
	v.Set("take_up_failures", m.takeUpFailures)
	v.Set("handovers", m.handovers)
	v.Set("incomplete_responses", m.incomplete)
	v.Set("unframed_responses", m.unframed)
	v.Set("requests_in_flight", m.inFlight)
	v.Set("body_bytes_in_flight", m.bodyBytes)
	v.Set("panics", m.panics)
	v.Set("leaving_runners", m.leavingRunners)
	v.Set("quiet_notices", m.quietNotices)
	v.Set("limit_notices", m.limitNotices)
	v.Set("unknown_keys", m.unknownKeys)
	v.Set("first_event_ms_by_rank", m.latencies(m.firstEventLatency))
	v.Set("answer_ms_by_rank", m.latencies(m.totalLatency))
	return v
}

func (m *metrics) latencies(byRank map[int]*hdrhistogram.Histogram) expvar.Func {
	return func() any {
		m.mu.Lock()
		defer m.mu.Unlock()
		return summary(byRank)
	}
}
