package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/port"
)

// Guards against answers by an old configuration while a newer one is known to exist: "no route" for a route that was added,
// and services that were withdrawn.
func TestDaemonThatIsBehindDoesNotAnswerByItsConfiguration(t *testing.T) {
	b := newClientTestbed(t, func(context.Context, port.Runner) (*port.ForwardResponse, error) { return nil, port.ErrNotSent })
	b.discovery.loaded.Store(true)
	behindFor := func(d time.Duration) {
		b.config.lag.heard(zap.NewNop(), "e", 2, 1)
		b.config.lag.mu.Lock()
		b.config.lag.missing[0].at = time.Now().Add(-d)
		b.config.lag.mu.Unlock()
	}
	check := func(name string, known, unknown int, ready bool) {
		t.Helper()
		for target, want := range map[string]int{"/safe/": known, "/added/": unknown} {
			if got, err := b.get(t.Context(), target); got != want || err != nil {
				t.Errorf("%s: %s is answered with %d, %v, want %d", name, target, got, err, want)
			}
		}
		if got := b.Ready(); got != ready {
			t.Errorf("%s: ready %t, want %t", name, got, ready)
		}
	}
	const runnerMissing = http.StatusServiceUnavailable
	check("current", runnerMissing, http.StatusNotFound, true)
	behindFor(0)
	check("told of a newer version", runnerMissing, http.StatusServiceUnavailable, true)
	behindFor(time.Minute)
	check("behind for long", http.StatusServiceUnavailable, http.StatusServiceUnavailable, false)
	if requests := len(b.logs.FilterMessage("request rejected").All()); requests != 4 {
		t.Errorf("%d requests were rejected before they were forwarded, want 4", requests)
	}
	if lag := b.config.lag.since(time.Now().Add(2 * maxLagSilence)); lag != 0 {
		t.Errorf("behind for %s although nobody was heard who has the version", lag)
	}
	b.install(2, "s", time.Minute)
	check("current again", runnerMissing, http.StatusNotFound, true)
	b.config.lag.heard(zap.NewNop(), "e", 3, 2)
	b.config.install([]byte("?"), "peer")
	if b.config.lag.heard(zap.NewNop(), "e", 3, 2); b.config.lag.since(time.Now()) > 0 {
		t.Error("a version that cannot be decoded is missed for good")
	}
}

// Guards against a daemon that counts as behind because versions come faster than it could be told of each.
func TestLagIsThatOfTheOldestMissingVersion(t *testing.T) {
	l := &configLag{}
	for version := int64(2); version < 200; version++ {
		l.heard(zap.NewNop(), "e", version, version-2)
		l.installed(version - 1)
		if got := len(l.missing); got != 1 {
			t.Fatalf("at version %d %d versions are missing, want the last one", version, got)
		}
	}
	if l.installed(199); l.since(time.Now()) != 0 {
		t.Error("a daemon with the newest version counts as behind")
	}
}
