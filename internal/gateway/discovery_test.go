package gateway

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/port"
)

// jsonRegistry decodes records that hold the types of internal/port in JSON.
type jsonRegistry struct{}

func (jsonRegistry) RouteConfig(value []byte) (*port.RouteConfig, error) {
	c := &port.RouteConfig{}
	return c, json.Unmarshal(value, c)
}

func (jsonRegistry) Runner(id string, value []byte) (port.Runner, error) {
	r := port.Runner{}
	err := json.Unmarshal(value, &r)
	r.ID = id
	return r, err
}

func runnerRecord(t *testing.T, r port.Runner) port.KeyedRecord {
	t.Helper()
	value, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	return port.KeyedRecord{Key: r.ID, Value: value}
}

// publishedRunners holds the runners that a discovery published last, by id.
type publishedRunners map[string]port.Runner

func newTestDiscovery() (*discovery, *publishedRunners) {
	current := &publishedRunners{}
	d := newDiscovery(zap.NewNop(), nil, jsonRegistry{}, time.Second, func(list []port.Runner) {
		*current = publishedRunners{}
		for _, r := range list {
			(*current)[r.ID] = r
		}
	})
	return d, current
}

var epoch = time.Unix(1_000_000, 0)

func addRunners(t *testing.T, d *discovery, count int) {
	t.Helper()
	var records []port.KeyedRecord
	for i := range count {
		records = append(records, runnerRecord(t, port.Runner{ID: fmt.Sprintf("r%d", i), StartedMS: 1, Sequence: 5}))
	}
	d.applyRecords(epoch, records, true, false)
}

// Guards against runners that stay in use although they have left, and against runners that are
// taken out of use although they still serve. The cases say how either can come about.
func TestDiscovery(t *testing.T) {
	removals := func(ids ...string) []port.KeyedRecord {
		var out []port.KeyedRecord
		for _, id := range ids {
			out = append(out, port.KeyedRecord{Key: id})
		}
		return out
	}
	cases := []struct {
		name    string
		records func(t *testing.T) []port.KeyedRecord
		whole   bool
		outage  bool
		// want is the number of runners in use immediately, wantAfterGrace the number after
		// expiryGrace.
		want, wantAfterGrace int
	}{
		// Guards against requests to runners that left while only this daemon was disconnected
		// from the store.
		{"few missing after an outage", func(*testing.T) []port.KeyedRecord { return removals("r0") }, false, true, 3, 3},
		// Guards against an empty fleet after the store was unavailable to all runners.
		{"all expired in an outage", func(*testing.T) []port.KeyedRecord { return removals("r0", "r1", "r2", "r3") }, false, true, 4, 0},
		{"removed without an outage", func(*testing.T) []port.KeyedRecord { return removals("r0", "r1", "r2") }, false, false, 1, 1},
		// Guards against runners that remain because the record of their removal was compacted.
		{"missing in a whole read", func(t *testing.T) []port.KeyedRecord {
			return []port.KeyedRecord{runnerRecord(t, port.Runner{ID: "r0", StartedMS: 1, Sequence: 6})}
		}, true, false, 1, 1},
		// Guards against a runner that left and stays in use because an earlier entry of it is
		// executed late, after the removal.
		{"earlier entry after the removal", func(t *testing.T) []port.KeyedRecord {
			return append(removals("r0"), runnerRecord(t, port.Runner{ID: "r0", StartedMS: 1, Sequence: 4}))
		}, false, false, 3, 3},
		{"same entry after the removal", func(t *testing.T) []port.KeyedRecord {
			return append(removals("r0"), runnerRecord(t, port.Runner{ID: "r0", StartedMS: 1, Sequence: 5}))
		}, false, false, 3, 3},
		{"unreadable entry after the removal", func(*testing.T) []port.KeyedRecord {
			return append(removals("r0"), port.KeyedRecord{Key: "r0", Value: []byte("{")})
		}, false, false, 3, 3},
		{"earlier entry after an entry and the removal", func(t *testing.T) []port.KeyedRecord {
			records := append([]port.KeyedRecord{runnerRecord(t, port.Runner{ID: "r0", StartedMS: 1, Sequence: 7})}, removals("r0")...)
			return append(records, runnerRecord(t, port.Runner{ID: "r0", StartedMS: 1, Sequence: 6}))
		}, false, false, 3, 3},
		{"newly registered, removed and earlier entry", func(t *testing.T) []port.KeyedRecord {
			records := append([]port.KeyedRecord{runnerRecord(t, port.Runner{ID: "r9", StartedMS: 1, Sequence: 2})}, removals("r9")...)
			return append(records, runnerRecord(t, port.Runner{ID: "r9", StartedMS: 1, Sequence: 1}))
		}, false, false, 4, 4},
		// Guards against requests to runners that left in an outage, when an earlier entry of one
		// is executed late.
		{"all expired in an outage, earlier entry after it", func(t *testing.T) []port.KeyedRecord {
			return append(removals("r0", "r1", "r2", "r3"), runnerRecord(t, port.Runner{ID: "r0", StartedMS: 1, Sequence: 4}))
		}, false, true, 4, 0},
		// Guards against a runner that lapsed and came back within one read and is not used.
		{"newer entry after the removal", func(t *testing.T) []port.KeyedRecord {
			return append(removals("r0"), runnerRecord(t, port.Runner{ID: "r0", StartedMS: 1, Sequence: 6}))
		}, false, false, 4, 4},
		{"restart after the removal", func(t *testing.T) []port.KeyedRecord {
			return append(removals("r0"), runnerRecord(t, port.Runner{ID: "r0", StartedMS: 2, Sequence: 1}))
		}, false, false, 4, 4},
		// Guards against late copies of an entry that revert later changes.
		{"late copy of an entry", func(t *testing.T) []port.KeyedRecord {
			return []port.KeyedRecord{runnerRecord(t, port.Runner{ID: "r0", StartedMS: 1, Sequence: 4})}
		}, false, false, 4, 4},
		// Guards against entries of foreign writers that take a runner out of use.
		{"unreadable entry", func(*testing.T) []port.KeyedRecord {
			return []port.KeyedRecord{{Key: "r0", Value: []byte("{")}}
		}, false, false, 4, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d, current := newTestDiscovery()
			addRunners(t, d, 4)
			d.applyRecords(epoch, c.records(t), c.whole, c.outage)
			if len(*current) != c.want {
				t.Errorf("%d runners are in use, want %d", len(*current), c.want)
			}
			d.applyRecords(epoch.Add(expiryGrace), nil, false, false)
			if len(*current) != c.wantAfterGrace {
				t.Errorf("%d runners are in use after the grace time for expired entries, want %d", len(*current), c.wantAfterGrace)
			}
		})
	}
}

// Guards against a runner that is put back into use by a late copy of an entry from before its
// restart or drain.
func TestNewerEntryOfARunnerStays(t *testing.T) {
	d, current := newTestDiscovery()
	d.applyRecords(epoch, []port.KeyedRecord{runnerRecord(t, port.Runner{ID: "r", StartedMS: 2, Sequence: 1, Draining: true})}, true, false)
	d.applyRecords(epoch, []port.KeyedRecord{runnerRecord(t, port.Runner{ID: "r", StartedMS: 1, Sequence: 9})}, false, false)
	if !(*current)["r"].Draining {
		t.Error("an entry from before the restart replaced the newer one")
	}
}
