package retry_test

import (
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/retry"
)

const shareWindow = 10 * time.Second

// Guards against a restart that hands out a daemon's share of the retry limit a second time, and
// against daemons that use more than their share because they do not know of each other.
func TestShareOfTheRetryLimit(t *testing.T) {
	begin := time.Unix(1_000_000, 0)
	at := func(s float64) time.Time { return begin.Add(time.Duration(s * float64(time.Second))) }
	cases := []struct {
		name       string
		firstStart bool
		prepare    func(s *retry.Share)
		want       map[float64]float64
	}{
		{"restarted", false, func(s *retry.Share) { s.RegistryRead(); s.SetDaemons(begin, 8) }, map[float64]float64{0: 0, 9.9: 0, 10: 5}},
		{"first start", true, func(s *retry.Share) { s.RegistryRead(); s.SetDaemons(begin, 8) }, map[float64]float64{0: 5}},
		{"alone", true, func(s *retry.Share) { s.RegistryRead() }, map[float64]float64{0: 40}},
		{"registry not read", false, func(s *retry.Share) { s.SetDaemons(begin, 1) }, map[float64]float64{0: 0, 60: 0}},
		{"restarted, a peer knows what was used", false, func(s *retry.Share) {
			s.RegistryRead()
			s.SetDaemons(begin, 8)
			s.PreviousUsed(1, 3*time.Second)
			s.PreviousUsed(2, time.Second)
			s.PreviousUsed(0, 2*time.Second)
		}, map[float64]float64{0: 3, 9.9: 3, 10: 5}},
		{"restarted, a peer knows that all was used", false, func(s *retry.Share) {
			s.RegistryRead()
			s.SetDaemons(begin, 8)
			s.PreviousUsed(7, 0)
		}, map[float64]float64{0: 0, 9.9: 0, 10: 5}},
		{"daemons left", true, func(s *retry.Share) {
			s.RegistryRead()
			s.SetDaemons(begin, 8)
			s.SetDaemons(at(1), 5)
			s.SetDaemons(at(2), 4)
		}, map[float64]float64{2: 5, 11.9: 5, 12: 10}},
		{"daemon left and came back", true, func(s *retry.Share) {
			s.RegistryRead()
			s.SetDaemons(begin, 8)
			s.SetDaemons(at(1), 7)
			s.SetDaemons(at(2), 8)
		}, map[float64]float64{2: 5, 30: 5}},
		{"daemons joined", true, func(s *retry.Share) {
			s.RegistryRead()
			s.SetDaemons(begin, 4)
			s.SetDaemons(at(1), 8)
		}, map[float64]float64{1: 5}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := retry.NewShare(begin, shareWindow, c.firstStart)
			c.prepare(s)
			for after, want := range c.want {
				if got := s.Of(at(after), 40); got != want {
					t.Errorf("after %g s the share of 40 is %g, want %g", after, got, want)
				}
			}
		})
	}
}

// Guards against daemons that are killed together, several times in a window, and use the constant
// part of the limit once for each start.
func TestKilledDaemonsKeepTheRetryLimit(t *testing.T) {
	const daemons, total, kills, interval = 8, 40.0, 5, 2 * time.Second
	now := time.Unix(1_000_000, 0)
	firstStart := true
	retries := 0
	for range kills {
		for range daemons {
			share := retry.NewShare(now, shareWindow, firstStart)
			share.RegistryRead()
			share.SetDaemons(now, daemons)
			w := retry.NewWindow(0, share.Of(now, total), shareWindow)
			for {
				if _, ok := w.Reserve(now); !ok {
					break
				}
				retries++
			}
		}
		now = now.Add(interval)
		firstStart = false
	}
	if retries > total {
		t.Errorf("%d retries in one window, want at most %g", retries, total)
	}
}
