// Package duties makes the calls to the platform that one daemon at a time makes for all daemons. Each duty has a lease;
// whoever holds it acts, and what a successor has to know is in the store before the call is made.
package duties

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/lease"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/usage"
)

const (
	// collectDelay is the time from the end of a window until its counts are collected. It allows for small differences
	// between clocks.
	collectDelay = 700 * time.Millisecond
	// patienceShare is the share of the time within which a report is due that the holder waits for daemons that do not
	// respond. The rest is for a successor.
	patienceShare = 0.4
	// usageSlots is the number of records in which reports are kept; a new one replaces the oldest one.
	usageSlots = 8
	// callTimeout bounds a call to the platform. The lease must be held for the whole call.
	callTimeout = 500 * time.Millisecond
	// maxFailures is the number of calls without a response after which a holder leaves the duty to others for
	// abstention, because only its own path to the platform may have failed. That is longer than a lease blocks others.
	maxFailures = 3
	abstention  = 8 * time.Second
	// failureDelay is the time between calls that fail.
	failureDelay = time.Second
	// heldDelay is the time between attempts to get a lease that another daemon holds, each of which reads the store.
	heldDelay = 1500 * time.Millisecond
)

// Lease authorises the calls of a duty.
type Lease interface {
	// Acquire returns the fencing token under which a call may be made now. It returns lease.ErrHeld if another daemon
	// may rely on the lease; other errors are those of the store.
	Acquire(ctx context.Context) (int64, error)
}

// usageRecord is the stored form of a report. It is written before the report is sent, so that each later report of the
// window, also by a successor, is equal.
type usageRecord struct {
	Window int64        `json:"window"`
	Counts usage.Counts `json:"counts"`
	// Era is the era of the store in which the record was written.
	Era int64 `json:"era,omitempty"`
}

// UsageReporter reports the usage of each window once, with the same counts each time that the report is repeated. It is
// used by one goroutine.
type UsageReporter struct {
	Log     *zap.Logger
	Store   port.KeyedLog
	Duties  port.Duties
	Lease   Lease
	Holder  string
	Ledger  *usage.Ledger
	Windows usage.Windows
	// Late is how long after the end of a window its report is due.
	Late time.Duration
	// Collect asks the daemons for what they have counted in a window and adds it to Ledger. It reports whether all
	// have responded.
	Collect func(ctx context.Context, window int64) bool

	// next is the first window that may have to be reported.
	next int64
	// recorded holds the reports that are in the store, by window.
	recorded map[int64]usage.Counts
	// end is the end of the topic as of the last read or append; valid if synced is set.
	end    port.Position
	synced bool
	// failures counts the calls without a response since the last success; until idleUntil no call is made.
	failures  int
	idleUntil time.Time
}

// Step makes the report that is due at now, if there is one and this daemon may make it.
func (u *UsageReporter) Step(ctx context.Context, now time.Time) {
	u.next = max(u.next, u.Windows.At(now.Add(-u.Late)))
	if now.Before(u.idleUntil) || now.Before(u.Windows.End(u.next).Add(collectDelay)) {
		return
	}
	if !u.prepare(ctx, now) {
		return
	}
	counts := u.recorded[u.next]
	fencing, err := u.Lease.Acquire(ctx)
	if err != nil {
		u.lost(now, err)
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	fields := []zap.Field{zap.Int64("window", u.next), zap.Int("organisations", len(counts)), zap.Int64("requests", counts.Sum()), zap.Int64("fencing", fencing)}
	if err := u.Duties.ReportUsage(call, port.DutyLease{Holder: u.Holder, Fencing: fencing}, u.next, counts); err != nil {
		u.Log.Warn("usage report was not taken", append(fields, zap.Error(err))...)
		u.fail(now, err)
		return
	}
	u.Log.Info("usage reported", fields...)
	u.failures = 0
	u.next++
}

// fail delays the next call.
func (u *UsageReporter) fail(now time.Time, err error) {
	u.idleUntil = now.Add(failureDelay)
	if errors.Is(err, port.ErrDutyRefused) {
		return
	}
	if u.failures++; u.failures >= maxFailures {
		u.failures = 0
		u.idleUntil = now.Add(abstention)
	}
}

// lost forgets what is known of the store, because another daemon may write there.
func (u *UsageReporter) lost(now time.Time, err error) {
	u.synced = false
	u.idleUntil = now.Add(heldDelay)
	if !errors.Is(err, lease.ErrHeld) {
		u.idleUntil = now.Add(failureDelay)
		u.Log.Warn("lease for usage reports was not acquired", zap.Error(err))
	}
}

// prepare makes sure that the report of the next window is in the store. It reports whether it is.
func (u *UsageReporter) prepare(ctx context.Context, now time.Time) bool {
	if _, err := u.Lease.Acquire(ctx); err != nil {
		u.lost(now, err)
		return false
	}
	if !u.synced {
		if err := u.sync(ctx, now); err != nil {
			u.Log.Warn("usage reports cannot be read from the store", zap.Error(err))
			return false
		}
		// The window that is due may be another one now.
		if now.Before(u.Windows.End(u.next).Add(collectDelay)) {
			return false
		}
	}
	if _, ok := u.recorded[u.next]; ok {
		return true
	}
	waited := now.Sub(u.Windows.End(u.next))
	if complete := u.Collect(ctx, u.next); !complete && waited < time.Duration(patienceShare*float64(u.Late)) {
		return false
	}
	return u.record(ctx, now)
}

// sync reads the reports that are in the store.
func (u *UsageReporter) sync(ctx context.Context, now time.Time) error {
	records, end, err := u.Store.Newest(ctx, port.TopicUsage)
	if err != nil {
		return err
	}
	previous := u.recorded
	u.recorded = map[int64]usage.Counts{}
	current, any := false, false
	for _, r := range records {
		var record usageRecord
		if r.Value == nil || json.Unmarshal(r.Value, &record) != nil {
			continue
		}
		u.recorded[record.Window] = record.Counts
		any = true
		current = current || record.Era == end.Era
	}
	// What this process has sent holds, also if the store has lost it.
	for window, counts := range previous {
		if window >= u.next {
			u.recorded[window] = counts
		}
	}
	if any && !current {
		// Since the last record the store came back from an older copy. Reports may have been made whose records are lost.
		for lost := u.Windows.At(now); u.next < lost; u.next++ {
			if _, ok := u.recorded[u.next]; ok {
				break
			}
		}
	}
	u.end, u.synced = end, true
	return nil
}

// record writes the report of the next window to the store, if nobody wrote there since the last read. It reports whether
// the report is there.
func (u *UsageReporter) record(ctx context.Context, now time.Time) bool {
	if _, err := u.Lease.Acquire(ctx); err != nil {
		u.lost(now, err)
		return false
	}
	counts := u.Ledger.Total(u.next)
	// A struct of numbers and strings can always be encoded.
	value, _ := json.Marshal(usageRecord{Window: u.next, Counts: counts, Era: u.end.Era})
	key := "report/" + strconv.FormatInt(u.next%usageSlots, 10)
	appended, err := u.Store.PutAt(ctx, port.TopicUsage, u.end, port.KeyedRecord{Key: key, Value: value})
	if err != nil || !appended {
		u.synced = false
		return false
	}
	u.end.Offset++
	u.recorded[u.next] = counts
	delete(u.recorded, u.next-usageSlots)
	return true
}
