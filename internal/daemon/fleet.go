package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/routing"
)

// fleet keeps the routing table up to date from the VM list and from the reports
// of engines.
type fleet struct {
	daemon *Daemon
	table  atomic.Pointer[routing.Table]
	peers  atomic.Pointer[[]port.VM]

	mu        sync.Mutex
	upstreams map[string]*routing.Upstream
}

func newFleet(d *Daemon) *fleet {
	return &fleet{daemon: d, upstreams: map[string]*routing.Upstream{}}
}

// known tells whether the VM list was read at least once.
func (f *fleet) known() bool { return f.table.Load() != nil }

// peerDaemons returns the other daemons on the VM list.
func (f *fleet) peerDaemons() []port.VM {
	if peers := f.peers.Load(); peers != nil {
		return *peers
	}
	return nil
}

// Table returns the current routing table.
func (f *fleet) Table() *routing.Table { return f.table.Load() }

func (f *fleet) runVMList() error {
	every(f.daemon.context(), f.daemon.settings.Timing.VMListInterval.Std(), f.readVMList)
	return nil
}

// readVMList replaces the table. On a failure the last list stays in use.
func (f *fleet) readVMList(ctx context.Context) {
	snapshot, err := f.daemon.deps.VMs.List(ctx)
	if err != nil {
		f.daemon.log.Debug("VM list is unavailable", zap.Error(err))
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	upstreams := make(map[string]*routing.Upstream, len(snapshot.VMs))
	list := make([]*routing.Upstream, 0, len(snapshot.VMs))
	var peers []port.VM
	for _, vm := range snapshot.VMs {
		if vm.Kind == port.KindDaemon {
			if vm.ID != f.daemon.settings.Name && vm.PeerAddress != "" {
				peers = append(peers, vm)
			}
			continue
		}
		u := f.upstream(vm)
		upstreams[vm.ID] = u
		list = append(list, u)
	}
	f.upstreams = upstreams
	f.peers.Store(&peers)
	f.table.Store(routing.NewTable(list))
}

// upstream keeps the known upstream when its VM has not changed, so that its
// report and in-flight count stay.
func (f *fleet) upstream(vm port.VM) *routing.Upstream {
	u, ok := f.upstreams[vm.ID]
	if ok && u.VM == vm {
		return u
	}
	next := &routing.Upstream{VM: vm}
	if vm.Kind == port.KindEngine {
		next.Engine = f.daemon.deps.Engines(vm.Address)
	} else {
		next.Service = f.daemon.deps.Services(vm.Address)
	}
	if ok && u.VM.Address == vm.Address {
		next.SetReport(u.Report())
	}
	return next
}

func (f *fleet) runStatus() error {
	every(f.daemon.context(), f.daemon.settings.Timing.StatusInterval.Std(), f.readStatus)
	return nil
}

// readStatus asks all engines for their status at once.
func (f *fleet) readStatus(ctx context.Context) {
	var group sync.WaitGroup
	for _, u := range f.engines() {
		group.Go(func() {
			// The report carries a failure.
			_ = f.readEngine(ctx, u)
		})
	}
	group.Wait()
}

func (f *fleet) engines() []*routing.Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*routing.Upstream
	for _, u := range f.upstreams {
		if u.VM.Kind == port.KindEngine {
			out = append(out, u)
		}
	}
	return out
}

// readEngine asks one engine for its status and returns why it did not answer.
func (f *fleet) readEngine(ctx context.Context, u *routing.Upstream) error {
	asked := time.Now()
	status, err := u.Engine.Status(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if last := u.Report(); err != nil && last != nil {
		// The last known incarnation tells later whether the engine restarted.
		status = last.Status
	}
	u.SetReport(&routing.Report{Status: status, Received: time.Now(), Failed: err != nil})
	f.daemon.suspects.observe(u.VM.ID, asked, status, err)
	return err
}

// all returns every upstream, for the status report.
func (f *fleet) all() []*routing.Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]*routing.Upstream, 0, len(f.upstreams))
	for _, u := range f.upstreams {
		out = append(out, u)
	}
	return out
}
