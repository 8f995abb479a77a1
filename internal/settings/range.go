package settings

import (
	"reflect"
	"strings"
	"time"

	"bergamotsill.example/bergamotsill/internal/findings"
)

// Range holds the smallest and the largest valid value of a setting, both inclusive.
// Durations are in nanoseconds.
type Range struct{ Min, Max int64 }

// Units of size, in bytes.
const (
	kib = 1 << 10
	mib = 1 << 20
)

// ranges maps the JSON path of every integer and duration setting to its range.
var ranges = map[string]Range{
	"limits.body_bytes":         {1 * kib, 64 * mib},
	"limits.head_bytes":         {1 * kib, 256 * kib},
	"limits.in_flight_bytes":    {4 * kib, 16 << 30},
	"limits.caller_connections": {0, 1_000_000},
	"limits.queue_requests":     {1, 100_000},
	"limits.quarantine_entries": {1, 1_000_000},
	"limits.decision_records":   {1, 1_000_000},

	"timing.lease":            durationRange(time.Second, 5*time.Minute),
	"timing.clock_drift":      durationRange(10*time.Millisecond, time.Minute),
	"timing.probe_interval":   durationRange(10*time.Millisecond, 10*time.Second),
	"timing.status_interval":  durationRange(10*time.Millisecond, 5*time.Second),
	"timing.vm_list_interval": durationRange(100*time.Millisecond, 5*time.Second),
	"timing.progress":         durationRange(100*time.Millisecond, 5*time.Minute),
	"timing.balancer_delay":   durationRange(0, 5*time.Minute),
	"timing.unfenced_settle":  durationRange(time.Second, 24*time.Hour),
	"timing.quarantine_hold":  durationRange(time.Second, 24*time.Hour),

	"claims.partitions":         {1, 4096},
	"claims.answer_bytes":       {1, 16 * mib},
	"claims.calls":              {1, 100_000},
	"claims.checkpoint_records": {1, 1_000_000},
	"claims.retention":          durationRange(time.Minute, 366*24*time.Hour),
	"claims.wait":               durationRange(time.Millisecond, 5*time.Minute),
	"claims.call_timeout":       durationRange(100*time.Millisecond, time.Hour),
}

func durationRange(shortest, longest time.Duration) Range {
	return Range{Min: int64(shortest), Max: int64(longest)}
}

// RangeOf returns the range of the setting at a JSON path.
func RangeOf(path string) (Range, bool) {
	r, ok := ranges[path]
	return r, ok
}

var durationType = reflect.TypeFor[Duration]()

// checkRanges adds a finding for every integer and duration outside its range.
func checkRanges(list *findings.List, s *Settings) {
	walkNumbers("", reflect.ValueOf(s).Elem(), func(path string, value reflect.Value) {
		r, ok := ranges[path]
		if !ok || (value.Int() >= r.Min && value.Int() <= r.Max) {
			return
		}
		if value.Type() == durationType {
			list.Add(path, "must be between %s and %s, found %s",
				time.Duration(r.Min), time.Duration(r.Max), time.Duration(value.Int()))
			return
		}
		list.Add(path, "must be between %d and %d, found %d", r.Min, r.Max, value.Int())
	})
}

// walkNumbers calls f for every integer and duration in a struct and its nested structs.
func walkNumbers(path string, v reflect.Value, f func(path string, value reflect.Value)) {
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		child := findings.Join(path, name)
		field := v.Field(i)
		switch {
		case field.Kind() == reflect.Struct:
			walkNumbers(child, field, f)
		case field.CanInt():
			f(child, field)
		}
	}
}

// checkRelations adds a finding for each combination of values that is invalid although
// each value is within its range.
func (s *Settings) checkRelations(list *findings.List) {
	t := s.Timing
	if t.ClockDrift >= t.Lease {
		list.Add("timing.clock_drift", "must be less than timing.lease, %s", t.Lease.Std())
	}
	if t.ProbeInterval >= t.Lease {
		list.Add("timing.probe_interval", "must be less than timing.lease, %s", t.Lease.Std())
	}
	if t.UnfencedSettle < t.VMListInterval {
		list.Add("timing.unfenced_settle", "must not be less than timing.vm_list_interval, %s", t.VMListInterval.Std())
	}
	if s.Limits.InFlightBytes < 2*s.Limits.BodyBytes {
		list.Add("limits.in_flight_bytes", "must be at least twice limits.body_bytes, %d, because reading one body may take that much", s.Limits.BodyBytes)
	}
	if s.Listen.Caller != "" && s.Listen.Caller == s.Listen.Peer {
		list.Add("listen.peer", "must differ from listen.caller")
	}
}

// maxNameBytes limits the length of names, which become part of stream names and metrics.
const maxNameBytes = 64

// checkName adds a finding for a name that is missing, too long, or contains characters
// that are special in paths and lists.
func checkName(list *findings.List, path, value string) {
	if value == "" {
		list.Add(path, "is required")
		return
	}
	valid := func(r rune) bool {
		return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-_.", r)
	}
	if len(value) > maxNameBytes || strings.IndexFunc(value, func(r rune) bool { return !valid(r) }) >= 0 {
		list.Add(path, "must hold at most %d characters, only letters, digits, dots, hyphens and underscores, found %q", maxNameBytes, value)
	}
}
