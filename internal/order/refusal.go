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
	// maxRefusedAttempts is the number of refused attempts after which an order is
	// withdrawn.
	maxRefusedAttempts = 3
	// refusedRetryDelay is the delay between the first and the second attempt; it
	// doubles with each further one.
	refusedRetryDelay = 2 * time.Second
	// minRefusalDelay is the delay after a withdrawal before the change is proposed
	// again; it doubles with each further withdrawal, up to maxRefusalDelay.
	minRefusalDelay = time.Minute
	maxRefusalDelay = time.Hour
	// refusalRetention is the time after which a Refusal expires.
	refusalRetention = 24 * time.Hour
	// maxRefusals bounds the refusals kept for one engine.
	maxRefusals = 4
)

// Refusal records that orders for a change of one engine were withdrawn.
type Refusal struct {
	// Change is the order without its id, fencing token and incarnation.
	Change port.Order `json:"change"`
	// Count is the number of consecutive withdrawals, At the log's time of the last one.
	Count int       `json:"count"`
	At    time.Time `json:"at"`
	// PoolDigest is the digest of the pool's configuration that required the change.
	PoolDigest string `json:"basis,omitempty"`
}

// delay returns how long after At the change is not proposed again.
func (r Refusal) delay() time.Duration {
	d := minRefusalDelay
	for i := 1; i < r.Count && d < maxRefusalDelay; i++ {
		d *= 2
	}
	return min(d, maxRefusalDelay)
}

// blocks reports whether a change must not be proposed yet. A new revision that leaves
// the pool's configuration unchanged does not end the delay: there are hundreds of
// revisions a day, which would make the delay ineffective.
func (r Refusal) blocks(change port.Order, digest string, now time.Time) bool {
	return r.Change == requestedChange(change) && r.PoolDigest == digest && now.Sub(r.At) < r.delay()
}

// requestedChange returns an order without its id, fencing token and incarnation.
func requestedChange(o port.Order) port.Order {
	o.ID, o.Fencing, o.Incarnation = "", 0, ""
	return o
}

// poolDigest returns a digest of a pool's configuration, "" if the configuration does
// not contain the pool.
func poolDigest(s *profile.Snapshot, pool string) string {
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

// refusalsAfter returns the refusals of an engine after an outcome of its pending
// order: OutcomeWithdrawn adds one or counts it again, OutcomeDone removes the one of
// the same change, and OutcomeGone removes all.
func (e EngineState) refusalsAfter(r Record, at time.Time) []Refusal {
	change := requestedChange(e.Pending.Order)
	next := Refusal{Change: change, Count: 1, At: at, PoolDigest: r.PoolDigest}
	var out []Refusal
	for _, old := range e.Refusals {
		if old.Change != change {
			out = append(out, old)
			continue
		}
		if old.PoolDigest == r.PoolDigest && at.Sub(old.At) < refusalRetention {
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
