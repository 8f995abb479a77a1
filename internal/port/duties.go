package port

import (
	"context"
	"errors"
)

// Errors of the calls of Duties. After any other error the call may have been carried out, also later.
var (
	// ErrNoRunnersAvailable reports that the platform has no runners of the wanted kind at the moment.
	ErrNoRunnersAvailable = errors.New("no runners of this kind are available")
	// ErrDutyRefused reports that the platform did not take a call.
	ErrDutyRefused = errors.New("platform refused the call")
)

// DutyLease is the lease under which a daemon makes calls of a duty. Fencing grows when the holder changes.
type DutyLease struct {
	Holder  string
	Fencing int64
}

// RunnerOrder orders the number of runners of one kind that a service has in a data centre.
type RunnerOrder struct {
	Service, DataCentre string
	Count               int
	// Reclaimable selects the runners that the platform may take back.
	Reclaimable bool
}

// Duties makes the calls to the platform that one daemon at a time makes for all.
type Duties interface {
	// ReportUsage reports the requests of each organisation that runners began in a window. Repeating a report
	// has no effect.
	ReportUsage(ctx context.Context, l DutyLease, window int64, counts map[string]int64) error
	// OrderRunners orders runners.
	OrderRunners(ctx context.Context, l DutyLease, o RunnerOrder) error
}
