package duties

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/lease"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/seedtest"
	"bergamotsill.example/bergamotsill/internal/usage"
)

const (
	windowLength = 5 * time.Second
	dueAfter     = 10 * time.Second
	stepInterval = 250 * time.Millisecond
	leaseTime    = 3 * time.Second
)

var errLost = errors.New("no response")

// store is a topic that may be away, lose responses or come back from an older copy.
type store struct {
	port.KeyedLog
	records  []port.KeyedRecord
	era      int64
	away     bool
	loseNext bool
}

func (s *store) Newest(context.Context, string) ([]port.KeyedRecord, port.Position, error) {
	if s.away {
		return nil, port.Position{}, port.ErrLogUnavailable
	}
	newest := map[string]port.KeyedRecord{}
	for _, r := range s.records {
		newest[r.Key] = r
	}
	var out []port.KeyedRecord
	for _, r := range newest {
		out = append(out, r)
	}
	return out, port.Position{Era: s.era, Offset: int64(len(s.records))}, nil
}

func (s *store) PutAt(_ context.Context, _ string, at port.Position, r port.KeyedRecord) (bool, error) {
	if s.away {
		return false, port.ErrLogUnavailable
	}
	if at.Offset != int64(len(s.records)) || at.Era != s.era {
		return false, nil
	}
	s.records = append(s.records, r)
	if s.loseNext {
		s.loseNext = false
		return false, port.ErrAppendUnknown
	}
	return true, nil
}

// platform records reports. It may lose the response of a call that it has carried out, refuse calls, or be away.
type platform struct {
	port.Duties
	t        *testing.T
	reported map[int64]usage.Counts
	lose     func() bool
	err      error
}

func (p *platform) ReportUsage(_ context.Context, _ port.DutyLease, window int64, counts map[string]int64) error {
	if p.err != nil {
		return p.err
	}
	if before, ok := p.reported[window]; ok && !maps.Equal(before, usage.Counts(counts)) {
		p.t.Errorf("window %d is reported as %v after %v", window, counts, before)
	}
	p.reported[window] = maps.Clone(usage.Counts(counts))
	if p.lose != nil && p.lose() {
		return errLost
	}
	return nil
}

// fakeLease is held by one reporter at a time, and free after leaseTime.
type fakeLease struct {
	shared *sharedLease
	name   string
}

type sharedLease struct {
	now    time.Time
	holder string
	until  time.Time
	token  int64
}

func (l fakeLease) Acquire(context.Context) (int64, error) {
	s := l.shared
	if s.holder != l.name && s.now.Before(s.until) {
		return 0, lease.ErrHeld
	}
	if s.holder != l.name || !s.now.Before(s.until) {
		s.token++
		s.holder, s.until = l.name, s.now.Add(leaseTime)
	}
	return s.token, nil
}

// scene plays reporters that share a store, a platform and a lease.
type scene struct {
	now       time.Time
	store     *store
	platform  *platform
	lease     *sharedLease
	ledger    *usage.Ledger
	reporters map[string]*UsageReporter
	// responding tells whether all daemons respond when they are asked.
	responding bool
}

func newScene(t *testing.T, names ...string) *scene {
	s := &scene{
		now: time.Unix(1_000_000, 0), store: &store{era: 1}, platform: &platform{t: t, reported: map[int64]usage.Counts{}},
		lease: &sharedLease{}, ledger: usage.NewLedger(usage.Source{Daemon: "d"}), reporters: map[string]*UsageReporter{}, responding: true,
	}
	for _, name := range names {
		s.start(name)
	}
	return s
}

// start starts a reporter, in place of one of the same name.
func (s *scene) start(name string) {
	s.reporters[name] = &UsageReporter{
		Log: zap.NewNop(), Store: s.store, Duties: s.platform, Lease: fakeLease{s.lease, name}, Holder: name, Ledger: s.ledger,
		Windows: usage.Windows{Length: windowLength}, Late: dueAfter, Collect: func(context.Context, int64) bool { return s.responding },
	}
}

// run lets the reporters step while requests begin.
func (s *scene) run(d time.Duration, each func()) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(stepInterval) {
		s.lease.now = s.now
		s.ledger.Count(usage.Windows{Length: windowLength}.At(s.now), "o")
		if each != nil {
			each()
		}
		for _, r := range s.reporters {
			r.Step(context.Background(), s.now)
		}
	}
}

// Guards against windows that are not reported in time, or not as they were counted, through failures that end.
func TestEachWindowIsReported(t *testing.T) {
	const perWindow = int64(windowLength / stepInterval)
	cases := []struct {
		name string
		// fail begins the failure and returns what ends it. It lasts for two seconds.
		fail func(s *scene) (end func())
	}{
		{"calm", func(*scene) func() { return func() {} }},
		{"daemons do not respond", func(s *scene) func() { s.responding = false; return func() { s.responding = true } }},
		{"the store is away", func(s *scene) func() { s.store.away = true; return func() { s.store.away = false } }},
		{"the response to the record is lost", func(s *scene) func() { s.store.loseNext = true; return func() {} }},
		{"the platform is away", func(s *scene) func() { s.platform.err = errLost; return func() { s.platform.err = nil } }},
		{"the platform refuses calls", func(s *scene) func() {
			s.platform.err = fmt.Errorf("%w: status 429", port.ErrDutyRefused)
			return func() { s.platform.err = nil }
		}},
		{"responses of the platform are lost", func(s *scene) func() {
			s.platform.lose = func() bool { return true }
			return func() { s.platform.lose = nil }
		}},
		{"the holder is killed", func(s *scene) func() {
			delete(s.reporters, s.lease.holder)
			return func() { s.start("c") }
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newScene(t, "a", "b")
			begin := usage.Windows{Length: windowLength}.At(s.now)
			s.run(2*windowLength, nil)
			end := c.fail(s)
			s.run(2*time.Second, nil)
			end()
			s.run(6*windowLength, nil)
			for k := begin; k < begin+6; k++ {
				if got := s.platform.reported[k]["o"]; got != perWindow {
					t.Errorf("window %d is reported with %d requests, want %d", k-begin, got, perWindow)
				}
			}
		})
	}
}

// Guards against two reports of one window that differ, whatever fails: holders that are killed, calls and appends whose
// response is lost, and a store that comes back without the last records.
func TestReportsOfAWindowNeverDiffer(t *testing.T) {
	seedtest.Run(t, func(t *testing.T, seed uint64) {
		r := rand.New(rand.NewPCG(seed, 3))
		s := newScene(t, "a", "b", "c")
		s.platform.lose = func() bool { return r.IntN(3) == 0 }
		s.run(10*time.Minute, func() {
			switch r.IntN(40) {
			case 0:
				s.start([]string{"a", "b", "c"}[r.IntN(3)])
			case 1:
				s.store.loseNext = true
			case 2:
				s.store.away = !s.store.away
			case 3:
				s.responding = !s.responding
			}
		})
		if len(s.platform.reported) < 60 {
			t.Errorf("%d windows are reported in ten minutes", len(s.platform.reported))
		}
	})
}

// Guards against a report that differs from one whose record the store has lost.
func TestRestoredStoreLeadsToNoSecondReport(t *testing.T) {
	for _, killed := range []bool{false, true} {
		s := newScene(t, "a")
		s.run(4*windowLength, nil)
		before := len(s.platform.reported)
		s.store.records = s.store.records[:len(s.store.records)-1]
		s.store.era++
		if killed {
			s.start("b")
			delete(s.reporters, "a")
		}
		s.ledger.Count(usage.Windows{Length: windowLength}.At(s.now)-1, "late")
		s.run(4*windowLength, nil)
		if len(s.platform.reported) < before+3 {
			t.Errorf("holder killed %t: %d windows are reported, %d before the store came back", killed, len(s.platform.reported), before)
		}
	}
}
