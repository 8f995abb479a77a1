package daemon

import (
	"context"
	"slices"
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
	// list is the VM list as read last.
	list atomic.Pointer[port.VMSnapshot]

	mu        sync.Mutex
	upstreams map[string]*routing.Upstream
	// replaced holds upstreams that were replaced with requests in flight.
	replaced []*routing.Upstream
}

func newFleet(d *Daemon) *fleet {
	return &fleet{daemon: d, upstreams: map[string]*routing.Upstream{}}
}

// known tells whether the VM list was read at least once.
func (f *fleet) known() bool { return f.table.Load() != nil }

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
	f.list.Store(&snapshot)
	f.mu.Lock()
	defer f.mu.Unlock()
	upstreams := make(map[string]*routing.Upstream, len(snapshot.VMs))
	list := make([]*routing.Upstream, 0, len(snapshot.VMs))
	for _, vm := range snapshot.VMs {
		if vm.Kind == port.KindDaemon {
			continue
		}
		u := f.upstream(vm)
		upstreams[vm.ID] = u
		list = append(list, u)
	}
	f.upstreams = upstreams
	f.closeUpstreams()
	f.table.Store(routing.NewTable(list))
}

// daemons returns the listed VMs that run a daemon with a peer address.
func (f *fleet) daemons() []port.VM {
	snapshot := f.list.Load()
	if snapshot == nil {
		return nil
	}
	var out []port.VM
	for _, vm := range snapshot.VMs {
		if vm.Kind == port.KindDaemon && vm.PeerAddress != "" {
			out = append(out, vm)
		}
	}
	return out
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
		// Requests that are begun from here on are counted at the new one.
		u.SetClosed(true)
		f.replaced = append(f.replaced, u)
	}
	return next
}

// refreshClosed closes drained and withdrawn upstreams to new requests and opens
// the others.
func (f *fleet) refreshClosed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closeUpstreams()
}

// closeUpstreams does the work of refreshClosed; the lock is held.
func (f *fleet) closeUpstreams() {
	snapshot := f.daemon.config.Snapshot()
	for _, u := range f.upstreams {
		withdrawn := snapshot != nil && snapshot.Withdrawn(u.VM)
		drained := u.VM.Kind == port.KindEngine && f.daemon.orders.drained(u.VM)
		u.SetClosed(withdrawn || drained)
	}
}

// inFlight returns the number of requests that this daemon has in flight at a VM.
func (f *fleet) inFlight(id string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := int64(0)
	if u, ok := f.upstreams[id]; ok {
		total = u.InFlight()
	}
	f.replaced = slices.DeleteFunc(f.replaced, func(u *routing.Upstream) bool { return u.InFlight() == 0 })
	for _, u := range f.replaced {
		if u.VM.ID == id {
			total += u.InFlight()
		}
	}
	return total
}

func (f *fleet) runStatus() error {
	every(f.daemon.context(), f.daemon.settings.Timing.StatusInterval.Std(), f.readStatus)
	return nil
}

// readStatus asks all engines for their status at once.
func (f *fleet) readStatus(ctx context.Context) {
	var group sync.WaitGroup
	for _, u := range f.engines() {
		group.Go(func() { f.readEngine(ctx, u) })
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

func (f *fleet) readEngine(ctx context.Context, u *routing.Upstream) {
	status, err := u.Engine.Status(ctx)
	if ctx.Err() != nil {
		return
	}
	u.SetReport(&routing.Report{Status: status, Received: time.Now(), Failed: err != nil})
}

// upstreamByID returns the upstream on a VM, or nil.
func (f *fleet) upstreamByID(id string) *routing.Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.upstreams[id]
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
