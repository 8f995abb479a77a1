package gateway

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/adapter/clock"
	"bergamotsill.example/bergamotsill/internal/crashes"
	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// verifyDelay is the time in which a process that ends closes its listener after its connections.
	verifyDelay = 30 * time.Millisecond
	// maxCrashesAtOnce is the number of runners up to which their ends count as crashes at once. If more end together, the cause is
	// hardly a request, and the registry confirms them in its time: otherwise all daemons would report all their losses in one moment.
	maxCrashesAtOnce = 3
	// entryCheckInterval is how often entries of runners in doubt are read while streams need them.
	entryCheckInterval = 500 * time.Millisecond
	// entryCheckTimeout bounds the read of an entry before a stream continues at its runner.
	entryCheckTimeout = 150 * time.Millisecond
	// wantedTime is how long after a stream last needed such a runner its entry is read: until one more entry was written, and a read
	// or two later.
	wantedTime = 5 * entryCheckInterval
)

// processes finds out whether runners still run the process of their registry entry, after signs that it has ended; see
// placement.Process. It is safe for concurrent use.
type processes struct {
	log       *zap.Logger
	fleet     *placement.Fleet
	discovery *discovery
	// probe opens a connection to a runner; nil if nothing can be probed.
	probe func(ctx context.Context, to port.Runner) error
	// refused is called with a runner that refuses connections after a sign of the end of its process.
	refused func(port.Runner)
	// background runs a function; its context is done when the gateway ends.
	background func(task string, f func(context.Context))

	mu sync.Mutex
	// wantedAt is when a stream last needed a runner in doubt.
	wantedAt time.Time
	// verifying holds the runners to which a connection is being opened, by id.
	verifying map[string]bool
}

func newProcesses(log *zap.Logger, f *placement.Fleet, d *discovery, runners port.Runners, background func(string, func(context.Context))) *processes {
	p := &processes{log: log, fleet: f, discovery: d, background: background, verifying: map[string]bool{}}
	if _, ok := runners.(port.ContactSource); ok {
		p.probe = runners.Probe
	}
	return p
}

// verify opens a connection to a runner after a sign that its process has ended. A process that ran shortly before and takes the
// connection is the same one, because none starts again that fast; one that refuses it has ended. The end of a runner that leaves is
// expected and needs no evidence.
func (p *processes) verify(to port.Runner) {
	if p.probe == nil || p.fleet.Leaves(to.ID) || !p.beginVerify(to.ID) {
		return
	}
	p.background("verify process of a runner", func(ctx context.Context) {
		defer p.endVerify(to.ID)
		clock.Sleep(ctx, verifyDelay)
		for ctx.Err() == nil && p.verifyOnce(ctx, to) {
			// Further connections have ended meanwhile.
			clock.Sleep(ctx, verifyDelay)
		}
	})
}

// verifyOnce opens a connection to a runner. It reports whether there was a later sign of the end of its process, so that another
// connection has to show that it runs.
func (p *processes) verifyOnce(ctx context.Context, to port.Runner) (again bool) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, placement.MaxConfirmTime)
	defer cancel()
	err := p.probe(ctx, to)
	if errors.Is(err, syscall.ECONNREFUSED) && !p.fleet.Leaves(to.ID) && p.verifyingCount() <= maxCrashesAtOnce {
		p.refused(to)
	}
	doubted, ok := p.fleet.RanUntilDoubt(to.ID)
	if err != nil || !ok || time.Since(doubted.Since) > placement.MaxConfirmTime {
		return false
	}
	if began.Sub(doubted.Since) < verifyDelay {
		return true
	}
	doubted.Since = began
	p.confirm(doubted, "connection")
	return false
}

func (p *processes) beginVerify(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.verifying[id] {
		return false
	}
	p.verifying[id] = true
	return true
}

func (p *processes) verifyingCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.verifying)
}

func (p *processes) endVerify(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.verifying, id)
}

// confirm records evidence that a process runs.
func (p *processes) confirm(process placement.Process, by string) {
	if p.fleet.ConfirmProcess(process) {
		p.log.Info("process of a runner still runs", zap.String("runner", process.ID), zap.Int64("started-ms", process.StartedMS), zap.String("evidence", by))
	}
}

// errProcessReplaced reports that the process of a runner is a later one than that of the entry by which it was chosen.
var errProcessReplaced = errors.New("runner has started again")

// checkEntry returns errProcessReplaced if a read of the registry that begins now shows that a runner has started again. Runners write
// their entry when they start, so that the process of a connection that is open already has written its own. While the registry
// cannot be read, nothing speaks against the known entry.
func (p *processes) checkEntry(ctx context.Context, to port.Runner) error {
	ctx, cancel := context.WithTimeout(ctx, entryCheckTimeout)
	defer cancel()
	p.discovery.refresh(ctx)
	if start, ok := p.fleet.StartOf(to.ID); !ok || start != to.StartedMS {
		return errProcessReplaced
	}
	return nil
}

// want asks for evidence that runners in doubt still run, because a stream waits for one or begins at one.
func (p *processes) want() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wantedAt = time.Now()
}

func (p *processes) wanted(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.wantedAt) < wantedTime
}

// entrySequence is the number of the newest entry of a process by a read that began at readAt.
type entrySequence struct {
	sequence int64
	readAt   time.Time
}

// run reads the entries of runners in doubt until ctx is done, while streams need them. An entry that follows the one of an earlier read was written after
// that read, so that its process ran then.
func (p *processes) run(ctx context.Context) {
	seen := map[placement.Process]entrySequence{}
	for ; ctx.Err() == nil; clock.Sleep(ctx, entryCheckInterval) {
		began := time.Now()
		if !p.wanted(began) {
			continue
		}
		doubted := p.fleet.DoubtedProcesses()
		if len(doubted) == 0 {
			clear(seen)
			continue
		}
		readCtx, cancel := context.WithTimeout(ctx, entryCheckInterval)
		read := p.discovery.refresh(readCtx)
		cancel()
		if read {
			p.compare(seen, doubted, began)
		}
	}
}

// compare confirms the processes whose entry is newer than at an earlier read that began after the last sign of their end, and
// notes the entries of the others.
func (p *processes) compare(seen map[placement.Process]entrySequence, doubted []placement.Process, began time.Time) {
	for _, process := range doubted {
		key := placement.Process{ID: process.ID, StartedMS: process.StartedMS}
		sequence := p.discovery.sequence(process.ID, process.StartedMS)
		last, ok := seen[key]
		if ok && !last.readAt.Before(process.Since) && sequence > last.sequence {
			process.Since = last.readAt
			p.confirm(process, "entry")
		}
		if !ok || last.readAt.Before(process.Since) {
			seen[key] = entrySequence{sequence: sequence, readAt: began}
		}
	}
}

// doubtProcesses records the ends of processes that a peer has observed.
func (p *peers) doubtProcesses(now time.Time, reports []crashes.Report) {
	for _, r := range reports {
		if r.Runner != "" {
			p.fleet.DoubtProcess(now, r.Runner, r.Start)
		}
	}
}

// originRunner returns the runner that generates the events of a request. Its version is unknownVersion if it is not certain
// which of its processes does: at no other one the stream may continue.
func (p *processes) originRunner(inFlight *placement.InFlightRequest) port.Runner {
	runner := inFlight.Runner()
	version, ok := inFlight.Version()
	if !ok {
		p.want()
		version = unknownVersion + runner.ID
	}
	runner.Version = version
	return runner
}

// unknownVersion is the begin of the version of streams that began at a process of unknown version. No runner has it.
const unknownVersion = "unknown version of "
