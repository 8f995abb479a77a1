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
	// pollersPerTarget is the number of daemons of a data centre that poll each engine
	// and that read the VM list. It tolerates one dead daemon and one that is slow to
	// detect a change.
	pollersPerTarget = 3
	// vmListStaleIntervals is the age, in intervals of reading the VM list, at which a
	// list counts as stale and every daemon reads it from the platform itself.
	vmListStaleIntervals = 3
	// vmListKey is the rendezvous hashing key that selects the readers of the VM list.
	vmListKey = "vm-list"
)

// fleet keeps the routing table up to date from the VM list and from engine reports. A
// few daemons read the VM list and poll each engine; the rest receive the results in
// probe messages.
type fleet struct {
	daemon *Daemon
	table  atomic.Pointer[routing.Table]

	// vmSnapshot is the VM list and the time at which it was last known to be current.
	// It is read without fleet.mu to avoid a deadlock: closeUpstreamsLocked calls other
	// components while it holds fleet.mu, and these read the list under their own locks.
	vmSnapshot atomic.Pointer[port.VMSnapshot]

	// mu guards upstreams, vms, vmsHash, vmsTime, confirmedAt and replaced.
	mu sync.Mutex
	// upstreams holds the current upstreams by VM id.
	upstreams map[string]*routing.Upstream
	vms       []port.VM
	// vmsHash identifies the content of the VM list. vmsTime is the time, on the
	// platform's clock, at which the list was last known to be current. confirmedAt is
	// when this daemon last set vmsTime, on its own clock.
	vmsHash     uint64
	vmsTime     time.Time
	confirmedAt time.Time
	// fetchingVMs is set while a VM list is being fetched from a peer.
	fetchingVMs atomic.Bool
	// polled caches the result of enginesToPoll. Only the goroutine of runEnginePolls
	// uses it.
	polled pollSet
	// replaced holds upstreams that were replaced and may still have requests in flight.
	replaced []*routing.Upstream
}

// pollSet holds the engines that this daemon polls, with the VM list hash and the
// membership generation that they were computed from.
type pollSet struct {
	hash                 uint64
	membershipGeneration uint64
	engines              []*routing.Upstream
}

func newFleet(d *Daemon) *fleet {
	return &fleet{daemon: d, upstreams: map[string]*routing.Upstream{}}
}

// hasVMList reports whether a VM list has been installed.
func (f *fleet) hasVMList() bool { return f.table.Load() != nil }

// peerDaemons returns the other daemons on the VM list.
func (f *fleet) peerDaemons() []port.VM {
	self := f.daemon.settings.Name
	return slices.DeleteFunc(f.daemons(), func(vm port.VM) bool { return vm.ID == self })
}

// Table returns the current routing table.
func (f *fleet) Table() *routing.Table { return f.table.Load() }

// vmsVersion returns the hash of the VM list and the time, on the platform's clock, at
// which the list was last known to be current.
func (f *fleet) vmsVersion() (uint64, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vmsHash, f.vmsTime
}

// runVMList reads the VM list, joins the gossip and then rereads the list at each
// interval in which this daemon is a reader, until the daemon stops.
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

// shouldReadVMList reports whether this daemon is one of the readers of the VM list or
// the list is stale because the readers have not confirmed it.
func (f *fleet) shouldReadVMList() bool {
	f.mu.Lock()
	stale := time.Since(f.confirmedAt) > vmListStaleIntervals*f.daemon.settings.Timing.VMListInterval.Std()
	f.mu.Unlock()
	return stale || f.isPoller(vmListKey, f.pollCandidates(f.daemon.settings.DataCentre))
}

// pollCandidates returns the peer addresses of the daemons that may poll the engines of
// a data centre.
func (f *fleet) pollCandidates(dataCentre string) []string {
	if live := f.daemon.gossip.liveAddresses(dataCentre); len(live) > 0 {
		return live
	}
	// No daemon is live in that data centre, so the daemons of all other data centres
	// take over.
	return f.daemon.gossip.liveAddresses("")
}

// isPoller reports whether rendezvous hashing selects this daemon as a poller for a key.
func (f *fleet) isPoller(key string, candidates []string) bool {
	top := rendezvous.Top(key, candidates, pollersPerTarget)
	return slices.Contains(top, f.daemon.settings.Listen.Peer)
}

// readVMList reads the VM list from the platform and installs it. If that fails, the
// last list stays in use.
func (f *fleet) readVMList(ctx context.Context) {
	snapshot, err := f.daemon.deps.VMs.List(ctx)
	if err != nil {
		f.daemon.log.Debug("read of VM list failed", zap.Error(err))
		return
	}
	f.installVMList(snapshot)
}

// installVMList replaces the VM list and the routing table unless the snapshot is older
// than the current list. A snapshot with the same content only confirms the list.
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

// hashVMs returns a hash of the content of a VM list.
func hashVMs(vms []port.VM) uint64 {
	// Encoding cannot fail, because a VM has only string fields.
	data, _ := json.Marshal(vms)
	return xxhash.Sum64(data)
}

// rebuildLocked replaces the upstreams and the routing table. The caller holds f.mu.
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

// upstreamFor returns the upstream for a VM. It returns the existing upstream if the VM
// has not changed, so that its report and in-flight count are kept. The caller holds
// f.mu.
func (f *fleet) upstreamFor(vm port.VM) *routing.Upstream {
	u, ok := f.upstreams[vm.ID]
	if ok && u.VM == vm {
		return u
	}
	created := &routing.Upstream{VM: vm}
	if vm.Kind == port.KindEngine {
		created.Engine = f.daemon.deps.Engines(vm.Address)
	} else {
		created.Service = f.daemon.deps.Services(vm.Address)
	}
	if ok && u.VM.Address == vm.Address {
		created.SetReport(u.Report())
		// Requests that begin from now on are counted at the new upstream.
		u.SetClosed(true)
		f.replaced = append(f.replaced, u)
	}
	return created
}

// applyPeerMessage confirms the VM list, or fetches a newer one, according to the version
// that a peer sent, and publishes the engine reports that came with the message.
func (f *fleet) applyPeerMessage(m membership.Message) {
	f.mu.Lock()
	peerTime := time.UnixMilli(m.VMsTime)
	newer := m.VMsHash != 0 && peerTime.After(f.vmsTime)
	sameContent := m.VMsHash == f.vmsHash
	if newer && sameContent {
		f.confirmLocked(peerTime)
	}
	f.mu.Unlock()
	if newer && !sameContent && f.fetchingVMs.CompareAndSwap(false, true) {
		go func() {
			defer f.fetchingVMs.Store(false)
			f.fetchVMList(f.daemon.context(), m.From.Address)
		}()
	}
	f.publishReports()
}

// fetchVMList fetches the VM list from a peer and installs it.
func (f *fleet) fetchVMList(ctx context.Context, address string) {
	var snapshot port.VMSnapshot
	err := f.daemon.deps.Peers(address).Call(ctx, membership.MethodVMs, struct{}{}, &snapshot)
	if err != nil {
		f.daemon.log.Debug("fetch of VM list from peer failed", zap.String("peer-address", address), zap.Error(err))
		return
	}
	f.installVMList(snapshot)
}

// handleVMs handles a peer's request for the VM list.
func (f *fleet) handleVMs(context.Context, json.RawMessage) (any, error) {
	return f.latestVMList(), nil
}

// latestVMList returns the VM list and the time, on the platform's clock, at which it was
// last known to be current. The time is zero before a list has been installed.
func (f *fleet) latestVMList() port.VMSnapshot {
	if list := f.vmSnapshot.Load(); list != nil {
		return *list
	}
	return port.VMSnapshot{}
}

// confirmLocked records that the VM list is current as of a time on the platform's clock.
// The caller holds f.mu.
func (f *fleet) confirmLocked(at time.Time) {
	f.vmsTime = at
	f.confirmedAt = time.Now()
	f.vmSnapshot.Store(&port.VMSnapshot{Time: at, VMs: f.vms})
}

// refreshClosedUpstreams closes drained and withdrawn upstreams to new requests and
// reopens all others.
func (f *fleet) refreshClosedUpstreams() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closeUpstreamsLocked()
}

// closeUpstreamsLocked implements refreshClosedUpstreams. The caller holds f.mu.
func (f *fleet) closeUpstreamsLocked() {
	snapshot := f.daemon.config.Snapshot()
	for _, u := range f.upstreams {
		withdrawn := snapshot != nil && snapshot.Withdrawn(u.VM)
		drained := u.VM.Kind == port.KindEngine && f.daemon.orders.isClosed(u.VM)
		u.SetClosed(withdrawn || drained)
	}
}

// inFlight returns the number of requests that this daemon has in flight at a VM. It
// includes those at replaced upstreams, and removes replaced upstreams without any.
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

// runEnginePolls polls engines at each status interval until the daemon stops.
func (f *fleet) runEnginePolls() error {
	runEvery(f.daemon.context(), f.daemon.settings.Timing.StatusInterval.Std(), f.pollEngines)
	return nil
}

// pollEngines polls, in parallel, the status of all engines that this daemon is a poller
// for, and publishes the reports.
func (f *fleet) pollEngines(ctx context.Context) {
	var group sync.WaitGroup
	for _, u := range f.enginesToPoll() {
		group.Go(func() {
			// The stored report records a failure.
			_ = f.pollEngine(ctx, u)
		})
	}
	group.Wait()
	f.publishReports()
}

// enginesToPoll returns the engines that this daemon polls. It recomputes them when the
// VM list or the membership has changed. Only runEnginePolls may call it, because
// f.polled is not guarded by f.mu.
func (f *fleet) enginesToPoll() []*routing.Upstream {
	hash, _ := f.vmsVersion()
	generation := f.daemon.gossip.membershipGeneration()
	set := &f.polled
	if set.engines != nil && set.hash == hash && set.membershipGeneration == generation {
		return set.engines
	}
	*set = pollSet{hash: hash, membershipGeneration: generation, engines: []*routing.Upstream{}}
	candidates := map[string][]string{}
	for _, u := range f.engines() {
		dc := u.VM.DataCentre
		if candidates[dc] == nil {
			candidates[dc] = f.pollCandidates(dc)
		}
		if f.isPoller(u.VM.ID, candidates[dc]) {
			set.engines = append(set.engines, u)
		}
	}
	return set.engines
}

// engines returns the upstreams that are engines.
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

// pollEngine requests the status of one engine and stores the report. It returns an error
// if the engine does not respond; unless ctx has ended, the report then records the
// failure.
func (f *fleet) pollEngine(ctx context.Context, u *routing.Upstream) error {
	sentAt := time.Now()
	status, err := u.Engine.Status(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if last := u.Report(); err != nil && last != nil {
		// Keep the last known status. Its incarnation later shows whether the engine
		// has restarted.
		status = last.Status
	}
	if err == nil {
		f.daemon.gossip.withLock(func() {
			f.daemon.gossip.engines.Observe(u.VM.ID, engineview.Observation{Status: status, At: time.Now()})
		})
	}
	u.SetReport(&routing.Report{Status: status, Received: time.Now(), Failed: err != nil})
	f.daemon.suspects.observe(u.VM.ID, sentAt, status, err)
	return err
}

// publishReports stores observations of engines that are newer than the reports of their
// upstreams as new reports, so that the request path uses them.
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

// allUpstreams returns all current upstreams, for the status report.
func (f *fleet) allUpstreams() []*routing.Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]*routing.Upstream, 0, len(f.upstreams))
	for _, u := range f.upstreams {
		out = append(out, u)
	}
	return out
}
