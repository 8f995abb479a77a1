package order

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/profile"
)

const (
	// refusedLimit is the number of refused attempts after which an order is
	// withdrawn.
	refusedLimit = 3
	// refusedRetry is the time to the second attempt; it doubles with each one.
	refusedRetry = 2 * time.Second
	// firstRefusalDelay is the time after a withdrawal before the change is proposed
	// again; it doubles with each further withdrawal up to maxRefusalDelay.
	firstRefusalDelay = time.Minute
	maxRefusalDelay   = time.Hour
	// refusalKept is the time after which a withdrawal is forgotten.
	refusalKept = 24 * time.Hour
	// maxRefusals bounds the changes that are remembered for one engine.
	maxRefusals = 4
)

// Refusal remembers that orders for a change of one engine were withdrawn.
type Refusal struct {
	// Change is the order without id and fencing number.
	Change port.Order `json:"change"`
	// Count is the number of withdrawals in a row, At the log's time of the last.
	Count int       `json:"count"`
	At    time.Time `json:"at"`
	// PoolDigest is the digest of the pool's configuration that asked for the change.
	PoolDigest string `json:"basis,omitempty"`
}

func (r Refusal) delay() time.Duration {
	d := firstRefusalDelay
	for i := 1; i < r.Count && d < maxRefusalDelay; i++ {
		d *= 2
	}
	return min(d, maxRefusalDelay)
}

// blocks tells whether a change must not be proposed yet. Other revisions do not
// matter: with hundreds of them a day they would undo the delay.
func (r Refusal) blocks(change port.Order, basis string, now time.Time) bool {
	return r.Change == content(change) && r.PoolDigest == basis && now.Sub(r.At) < r.delay()
}

// content returns what an order asks for.
func content(o port.Order) port.Order {
	o.ID, o.Fencing, o.Incarnation = "", 0, ""
	return o
}

// basis returns a digest of a pool's configuration, "" without one.
func basis(s *profile.Snapshot, pool string) string {
	if s == nil {
		return ""
	}
	p := s.Pool(pool)
	if p == nil {
		return ""
	}
	data, err := json.Marshal(p)
	if err != nil {
		return ""
	}
	return strconv.FormatUint(xxhash.Sum64(data), 16)
}

// afterOutcome returns the refusals of an engine after an outcome of its pending
// order.
func (e EngineState) afterOutcome(r Record, at time.Time) []Refusal {
	change := content(e.Pending.Order)
	next := Refusal{Change: change, Count: 1, At: at, PoolDigest: r.PoolDigest}
	var out []Refusal
	for _, old := range e.Refusals {
		if old.Change != change {
			out = append(out, old)
			continue
		}
		if old.PoolDigest == r.PoolDigest && at.Sub(old.At) < refusalKept {
			next.Count = old.Count + 1
		}
	}
	switch r.Outcome {
	case OutcomeWithdrawn:
		out = append(out, next)
	case OutcomeGone:
		return nil
	}
	return out[max(0, len(out)-maxRefusals):]
}
