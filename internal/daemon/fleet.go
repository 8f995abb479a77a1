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
	// pollersPerTarget is the number of daemons of a data centre that poll an engine, and
	// that read the VM list. One may be dead and one slow to notice.
	pollersPerTarget = 3
	// vmListStaleIntervals, in intervals of reading the VM list, is the age at which every
	// daemon reads the list itself.
	vmListStaleIntervals = 3
	// vmListKey is the rendezvous key of the readers of the VM list.
	vmListKey = "vm-list"
)

// fleet keeps the routing table up to date from the VM list and from the reports
// of engines. A few daemons read each; the others learn it from probes.
type fleet struct {
	daemon *Daemon
	table  atomic.Pointer[routing.Table]

	// vmSnapshot is the VM vmSnapshot and as of when it is known to be current. It is read
	// without the lock, because components that hold a lock of their own read it
	// while closeUpstreams, which holds this one, asks them.
	vmSnapshot atomic.Pointer[port.VMSnapshot]

	mu        sync.Mutex
	upstreams map[string]*routing.Upstream
	vms       []port.VM
	// vmsHash identifies the content of the VM list, at says as of when on the
	// platform's clock, and confirmed when this daemon learned it.
	vmsHash     uint64
	vmsTime     time.Time
	confirmedAt time.Time
	fetchingVMs atomic.Bool
	polled      pollSet
	// replaced holds upstreams that were replaced with requests in flight.
	replaced []*routing.Upstream
}

// pollSet holds the engines that this daemon polls. It is computed anew when
// the VM list or the membership changes.
type pollSet struct {
	hash                 uint64
	membershipGeneration uint64
	engines              []*routing.Upstream
}

func newFleet(d *Daemon) *fleet {
	return &fleet{daemon: d, upstreams: map[string]*routing.Upstream{}}
}

// hasVMList tells whether a VM list was read at least once.
func (f *fleet) hasVMList() bool { return f.table.Load() != nil }

// peerDaemons returns the other daemons on the VM list.
func (f *fleet) peerDaemons() []port.VM {
	own := f.daemon.settings.Name
	return slices.DeleteFunc(f.daemons(), func(vm port.VM) bool { return vm.ID == own })
}

// Table returns the current routing table.
func (f *fleet) Table() *routing.Table { return f.table.Load() }

// vmsVersion returns the hash of the VM list and as of when it is.
func (f *fleet) vmsVersion() (uint64, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vmsHash, f.vmsTime
}

func (f *fleet) runVMList() error {
	f.readVMList(f.daemon.context())
	f.daemon.gossip.join(f.daemon.context())
	runEvery(f.daemon.context(), f.daemon.settings.Timing.VMListInterval.Std(), func(ctx context.Context) {
		if f.shouldReadVMList() {
			f.readVMList(ctx)
		}
	})
	return nil
}

// shouldReadVMList tells whether this daemon is a reader of the VM list, or has not
// heard of it from a reader for too long.
func (f *fleet) shouldReadVMList() bool {
	f.mu.Lock()
	stale := time.Since(f.confirmedAt) > vmListStaleIntervals*f.daemon.settings.Timing.VMListInterval.Std()
	f.mu.Unlock()
	return stale || f.isPoller(vmListKey, f.pollCandidates(f.daemon.settings.DataCentre))
}

// pollCandidates returns the daemons that may watch what is in a data centre.
func (f *fleet) pollCandidates(dataCentre string) []string {
	if live := f.daemon.gossip.liveAddresses(dataCentre); len(live) > 0 {
		return live
	}
	// No daemon is left in that data centre, so that the others take over.
	return f.daemon.gossip.liveAddresses("")
}

// isPoller tells whether this daemon is one of the watchers for a key.
func (f *fleet) isPoller(key string, candidates []string) bool {
	top := rendezvous.Top(key, candidates, pollersPerTarget)
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
	f.installVMList(snapshot)
}

// installVMList takes a list into use unless it is older than the present one.
func (f *fleet) installVMList(snapshot port.VMSnapshot) {
	hash := hashVMs(snapshot.VMs)
	f.mu.Lock()
	defer f.mu.Unlock()
	if snapshot.Time.Before(f.vmsTime) {
		return
	}
	if hash == f.vmsHash && f.hasVMList() {
		f.confirmLocked(snapshot.Time)
		return
	}
	f.vmsHash = hash
	f.vms = snapshot.VMs
	f.confirmLocked(snapshot.Time)
	f.rebuildLocked()
	f.daemon.gossip.applyVMList(snapshot.VMs)
	f.daemon.admission.updateDaemonCount(snapshot.VMs)
}

func hashVMs(vms []port.VM) uint64 {
	// A VM holds only strings, so that it can always be encoded.
	data, _ := json.Marshal(vms)
	return xxhash.Sum64(data)
}

// rebuildLocked replaces the table. The caller holds the lock.
func (f *fleet) rebuildLocked() {
	upstreams := make(map[string]*routing.Upstream, len(f.vms))
	list := make([]*routing.Upstream, 0, len(f.vms))
	for _, vm := range f.vms {
		if vm.Kind == port.KindDaemon {
			continue
		}
		u := f.upstreamFor(vm)
		upstreams[vm.ID] = u
		list = append(list, u)
	}
	f.upstreams = upstreams
	f.closeUpstreamsLocked()
	f.table.Store(routing.NewTable(list))
}

// daemons returns the listed VMs that run a daemon with a peer address.
func (f *fleet) daemons() []port.VM {
	var out []port.VM
	for _, vm := range f.latestVMList().VMs {
		if vm.Kind == port.KindDaemon && vm.PeerAddress != "" {
			out = append(out, vm)
		}
	}
	return out
}

// upstreamFor keeps the known upstreamFor when its VM has not changed, so that its
// report and in-flight count stay.
func (f *fleet) upstreamFor(vm port.VM) *routing.Upstream {
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

// applyPeerMessage takes in what a peer says of the VM list, and the engine reports that came
// with the same message.
func (f *fleet) applyPeerMessage(m membership.Message) {
	f.mu.Lock()
	theirs := time.UnixMilli(m.VMsTime)
	newer := m.VMsHash != 0 && theirs.After(f.vmsTime)
	same := m.VMsHash == f.vmsHash
	if newer && same {
		f.confirmLocked(theirs)
	}
	f.mu.Unlock()
	if newer && !same && f.fetchingVMs.CompareAndSwap(false, true) {
		go func() {
			defer f.fetchingVMs.Store(false)
			f.fetchVMList(f.daemon.context(), m.From.Address)
		}()
	}
	f.publishReports()
}

// fetchVMList takes the VM list from a peer.
func (f *fleet) fetchVMList(ctx context.Context, address string) {
	var snapshot port.VMSnapshot
	err := f.daemon.deps.Peers(address).Call(ctx, membership.MethodVMs, struct{}{}, &snapshot)
	if err != nil {
		f.daemon.log.Debug("peer gave no VM list", zap.String("peer-address", address), zap.Error(err))
		return
	}
	f.installVMList(snapshot)
}

func (f *fleet) handleVMs(context.Context, json.RawMessage) (any, error) {
	return f.latestVMList(), nil
}

// latestVMList returns the VM list and as of when it is known to be current. The time is
// zero before a list was read.
func (f *fleet) latestVMList() port.VMSnapshot {
	if list := f.vmSnapshot.Load(); list != nil {
		return *list
	}
	return port.VMSnapshot{}
}

// confirmLocked notes that the list is current as of a time; the lock is held.
func (f *fleet) confirmLocked(at time.Time) {
	f.vmsTime = at
	f.confirmedAt = time.Now()
	f.vmSnapshot.Store(&port.VMSnapshot{Time: at, VMs: f.vms})
}

// refreshClosedUpstreams closes drained and withdrawn upstreams to new requests and opens
// the others.
func (f *fleet) refreshClosedUpstreams() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closeUpstreamsLocked()
}

// closeUpstreamsLocked does the work of refreshClosed; the lock is held.
func (f *fleet) closeUpstreamsLocked() {
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

func (f *fleet) runEnginePolls() error {
	runEvery(f.daemon.context(), f.daemon.settings.Timing.StatusInterval.Std(), f.pollEngines)
	return nil
}

// pollEngines asks all engines that this daemon watches for their status at once.
func (f *fleet) pollEngines(ctx context.Context) {
	var group sync.WaitGroup
	for _, u := range f.enginesToPoll() {
		group.Go(func() {
			// The report carries a failure.
			_ = f.pollEngine(ctx, u)
		})
	}
	group.Wait()
	f.publishReports()
}

// enginesToPoll returns the engines that this daemon polls. Only runStatus calls
// it.
func (f *fleet) enginesToPoll() []*routing.Upstream {
	hash, _ := f.vmsVersion()
	generation := f.daemon.gossip.membershipGeneration()
	w := &f.polled
	if w.engines != nil && w.hash == hash && w.membershipGeneration == generation {
		return w.engines
	}
	*w = pollSet{hash: hash, membershipGeneration: generation, engines: []*routing.Upstream{}}
	candidates := map[string][]string{}
	for _, u := range f.engines() {
		dc := u.VM.DataCentre
		if candidates[dc] == nil {
			candidates[dc] = f.pollCandidates(dc)
		}
		if f.isPoller(u.VM.ID, candidates[dc]) {
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

// pollEngine asks one engine for its status and returns why it did not answer.
func (f *fleet) pollEngine(ctx context.Context, u *routing.Upstream) error {
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
		f.daemon.gossip.withLock(func() {
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
		f.daemon.gossip.withLock(func() { o, ok = f.daemon.gossip.engines.Get(u.VM.ID) })
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

// allUpstreams returns every upstream, for the status report.
func (f *fleet) allUpstreams() []*routing.Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]*routing.Upstream, 0, len(f.upstreams))
	for _, u := range f.upstreams {
		out = append(out, u)
	}
	return out
}
