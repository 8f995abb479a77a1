package gateway

import (
	"sync"
	"time"

	"bergamotsill.example/bergamotsill/internal/retry"
)

// retryShare is the share of the global retry limit that is used; the rest covers first prefills at
// sound engines that fail, and daemons that do not have each other's addresses yet.
const retryShare = 0.85

// retryLimits holds this daemon's part of the retry limit of each service. It is safe for concurrent
// use.
type retryLimits struct {
	share *retry.Share

	// mu guards limits and windows, which are keyed by service.
	mu      sync.Mutex
	limits  RetryLimits
	windows map[string]*retry.Window
}

func newRetryLimits(limits RetryLimits, now time.Time, firstStart bool) *retryLimits {
	return &retryLimits{share: retry.NewShare(now, limits.Window, firstStart), limits: limits, windows: map[string]*retry.Window{}}
}

// set changes the limits. Their window stays as it was at the start.
func (l *retryLimits) set(limits RetryLimits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limits.Window = l.limits.Window
	l.limits = limits
}

// window returns the retry limit of a service as it is at now.
func (l *retryLimits) window(service string, now time.Time) *retry.Window {
	l.mu.Lock()
	defer l.mu.Unlock()
	ratio, slack := l.limits.Ratio*retryShare, l.share.Of(now, float64(l.limits.Slack)*retryShare)
	w, ok := l.windows[service]
	if !ok {
		w = retry.NewWindow(ratio, slack, l.limits.Window)
		l.windows[service] = w
		return w
	}
	w.SetLimits(ratio, slack)
	return w
}

// usedSlack returns the largest part of the constant of a service's limit that this daemon, or its
// previous process, has used in the current window.
func (l *retryLimits) usedSlack(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	used := 0.0
	for _, w := range l.windows {
		used = max(used, w.UsedSlack(now))
	}
	return used + l.share.PreviousCounted(now)
}

// usage returns the state of the limit of each service that had requests.
func (l *retryLimits) usage() any {
	now := time.Now()
	l.mu.Lock()
	services := make([]string, 0, len(l.windows))
	for service := range l.windows {
		services = append(services, service)
	}
	l.mu.Unlock()
	out := make(map[string]retry.Usage, len(services))
	for _, service := range services {
		out[service] = l.window(service, now).Usage(now)
	}
	return out
}
