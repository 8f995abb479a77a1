package daemon

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/engineview"
	"bergamotsill.example/bergamotsill/internal/membership"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/rendezvous"
	"bergamotsill.example/bergamotsill/internal/routing"
)

const (
	// watchers is the number of daemons of a data centre that poll an engine, and
	// that read the VM list. One may be dead and one slow to notice.
	watchers = 3
	// vmListStale, in intervals of reading the VM list, is the age at which every
	// daemon reads the list itself.
	vmListStale = 3
	// vmListKey is the rendezvous key of the readers of the VM list.
	vmListKey = "vm-list"
)

// fleet keeps the routing table up to date from the VM list and from the reports
// of engines. A few daemons read each; the others learn it from probes.
type fleet struct {
	daemon *Daemon
	table  atomic.Pointer[routing.Table]

	// list is the VM list and as of when it is known to be current. It is read
	// without the lock, because components that hold a lock of their own read it
	// while closeUpstreams, which holds this one, asks them.
	list atomic.Pointer[port.VMSnapshot]

	mu        sync.Mutex
	upstreams map[string]*routing.Upstream
	vms       []port.VM
	// hash identifies the content of the VM list, at says as of when on the
	// platform's clock, and confirmed when this daemon learned it.
	hash      uint64
	at        time.Time
	confirmed time.Time
	fetching  atomic.Bool
	watched   watchList
	// replaced holds upstreams that were replaced with requests in flight.
	replaced []*routing.Upstream
}

// watchList holds the engines that this daemon polls. It is computed anew when
// the VM list or the membership changes.
type watchList struct {
	hash       uint64
	generation uint64
	engines    []*routing.Upstream
}

func newFleet(d *Daemon) *fleet {
	return &fleet{daemon: d, upstreams: map[string]*routing.Upstream{}}
}

// known tells whether a VM list was read at least once.
func (f *fleet) known() bool { return f.table.Load() != nil }

// peerDaemons returns the other daemons on the VM list.
func (f *fleet) peerDaemons() []port.VM {
	own := f.daemon.settings.Name
	return slices.DeleteFunc(f.daemons(), func(vm port.VM) bool { return vm.ID == own })
}

// Table returns the current routing table.
func (f *fleet) Table() *routing.Table { return f.table.Load() }

// version returns the hash of the VM list and as of when it is.
func (f *fleet) version() (uint64, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hash, f.at
}

func (f *fleet) runVMList() error {
	f.readVMList(f.daemon.context())
	f.daemon.gossip.join(f.daemon.context())
	every(f.daemon.context(), f.daemon.settings.Timing.VMListInterval.Std(), func(ctx context.Context) {
		if f.readsVMList() {
			f.readVMList(ctx)
		}
	})
	return nil
}

// readsVMList tells whether this daemon is a reader of the VM list, or has not
// heard of it from a reader for too long.
func (f *fleet) readsVMList() bool {
	f.mu.Lock()
	stale := time.Since(f.confirmed) > vmListStale*f.daemon.settings.Timing.VMListInterval.Std()
	f.mu.Unlock()
	return stale || f.chosen(vmListKey, f.watchersIn(f.daemon.settings.DataCentre))
}

// watchersIn returns the daemons that may watch what is in a data centre.
func (f *fleet) watchersIn(dataCentre string) []string {
	if live := f.daemon.gossip.liveIn(dataCentre); len(live) > 0 {
		return live
	}
	// No daemon is left in that data centre, so that the others take over.
	return f.daemon.gossip.liveIn("")
}

// chosen tells whether this daemon is one of the watchers for a key.
func (f *fleet) chosen(key string, candidates []string) bool {
	top := rendezvous.Top(key, candidates, watchers)
	return slices.Contains(top, f.daemon.settings.Listen.Peer)
}

// readVMList reads the list from the platform. On a failure the last list stays
// in use.
func (f *fleet) readVMList(ctx context.Context) {
	snapshot, err := f.daemon.deps.VMs.List(ctx)
	if err != nil {
		f.daemon.log.Debug("VM list is unavailable", zap.Error(err))
		return
	}
	f.install(snapshot)
}

// install takes a list into use unless it is older than the present one.
func (f *fleet) install(snapshot port.VMSnapshot) {
	hash := hashVMs(snapshot.VMs)
	f.mu.Lock()
	defer f.mu.Unlock()
	if snapshot.Time.Before(f.at) {
		return
	}
	if hash == f.hash && f.known() {
		f.confirm(snapshot.Time)
		return
	}
	f.hash = hash
	f.vms = snapshot.VMs
	f.confirm(snapshot.Time)
	f.rebuild()
	f.daemon.gossip.addVMs(snapshot.VMs)
	f.daemon.admission.observeVMs(snapshot.VMs)
}

func hashVMs(vms []port.VM) uint64 {
	// A VM holds only strings, so that it can always be encoded.
	data, _ := json.Marshal(vms)
	return xxhash.Sum64(data)
}

// rebuild replaces the table. The caller holds the lock.
func (f *fleet) rebuild() {
	upstreams := make(map[string]*routing.Upstream, len(f.vms))
	list := make([]*routing.Upstream, 0, len(f.vms))
	for _, vm := range f.vms {
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
	var out []port.VM
	for _, vm := range f.latest().VMs {
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

// heard takes in what a peer says of the VM list, and the engine reports that came
// with the same message.
func (f *fleet) heard(m membership.Message) {
	f.mu.Lock()
	theirs := time.UnixMilli(m.VMsTime)
	newer := m.VMsHash != 0 && theirs.After(f.at)
	same := m.VMsHash == f.hash
	if newer && same {
		f.confirm(theirs)
	}
	f.mu.Unlock()
	if newer && !same && f.fetching.CompareAndSwap(false, true) {
		go func() {
			defer f.fetching.Store(false)
			f.fetchVMs(f.daemon.context(), m.From.Address)
		}()
	}
	f.publishReports()
}

// fetchVMs takes the VM list from a peer.
func (f *fleet) fetchVMs(ctx context.Context, address string) {
	var snapshot port.VMSnapshot
	err := f.daemon.deps.Peers(address).Call(ctx, membership.MethodVMs, struct{}{}, &snapshot)
	if err != nil {
		f.daemon.log.Debug("peer gave no VM list", zap.String("peer-address", address), zap.Error(err))
		return
	}
	f.install(snapshot)
}

func (f *fleet) handleVMs(context.Context, json.RawMessage) (any, error) {
	return f.latest(), nil
}

// latest returns the VM list and as of when it is known to be current. The time is
// zero before a list was read.
func (f *fleet) latest() port.VMSnapshot {
	if list := f.list.Load(); list != nil {
		return *list
	}
	return port.VMSnapshot{}
}

// confirm notes that the list is current as of a time; the lock is held.
func (f *fleet) confirm(at time.Time) {
	f.at = at
	f.confirmed = time.Now()
	f.list.Store(&port.VMSnapshot{Time: at, VMs: f.vms})
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
		drained := u.VM.Kind == port.KindEngine && f.daemon.orders.isClosed(u.VM)
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

// readStatus asks all engines that this daemon watches for their status at once.
func (f *fleet) readStatus(ctx context.Context) {
	var group sync.WaitGroup
	for _, u := range f.watchedEngines() {
		group.Go(func() {
			// The report carries a failure.
			_ = f.readEngine(ctx, u)
		})
	}
	group.Wait()
	f.publishReports()
}

// watchedEngines returns the engines that this daemon polls. Only runStatus calls
// it.
func (f *fleet) watchedEngines() []*routing.Upstream {
	hash, _ := f.version()
	generation := f.daemon.gossip.generation()
	w := &f.watched
	if w.engines != nil && w.hash == hash && w.generation == generation {
		return w.engines
	}
	*w = watchList{hash: hash, generation: generation, engines: []*routing.Upstream{}}
	candidates := map[string][]string{}
	for _, u := range f.engines() {
		dc := u.VM.DataCentre
		if candidates[dc] == nil {
			candidates[dc] = f.watchersIn(dc)
		}
		if f.chosen(u.VM.ID, candidates[dc]) {
			w.engines = append(w.engines, u)
		}
	}
	return w.engines
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
	if err == nil {
		f.daemon.gossip.locked(func() {
			f.daemon.gossip.engines.Observe(u.VM.ID, engineview.Observation{Status: status, At: time.Now()})
		})
	}
	u.SetReport(&routing.Report{Status: status, Received: time.Now(), Failed: err != nil})
	f.daemon.suspects.observe(u.VM.ID, asked, status, err)
	return err
}

// publishReports hands the newest observations to the request path.
func (f *fleet) publishReports() {
	for _, u := range f.engines() {
		var o engineview.Observation
		var ok bool
		f.daemon.gossip.locked(func() { o, ok = f.daemon.gossip.engines.Get(u.VM.ID) })
		if !ok {
			continue
		}
		if last := u.Report(); last == nil || o.At.After(last.Received) {
			u.SetReport(&routing.Report{Status: o.Status, Received: o.At})
		}
	}
}

// daemonsIn returns the listed daemons of a data centre.
func (f *fleet) daemonsIn(dataCentre string) []port.VM {
	return slices.DeleteFunc(f.daemons(), func(vm port.VM) bool { return vm.DataCentre != dataCentre })
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
