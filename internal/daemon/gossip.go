package daemon

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/adapter/clock"
	"bergamotsill.example/bergamotsill/internal/engineview"
	"bergamotsill.example/bergamotsill/internal/membership"
	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// probeTimeout bounds one direct probe and each fetch of state from a peer.
	probeTimeout = time.Second
	// relayCount is the number of daemons that are asked to probe a member after a
	// direct probe has failed.
	relayCount = 2
	// suspectTimeout is how long a suspected daemon may refute the suspicion before it
	// counts as dead.
	suspectTimeout = 4 * time.Second
	// deadRetention is how long a dead daemon stays in the member list.
	deadRetention = 10 * time.Minute
	// maxMemberUpdates, maxEngineChanges and maxLoads bound the number of entries of
	// each kind in one message.
	maxMemberUpdates = 4
	maxEngineChanges = 2
	maxLoads         = 16
	// changeTransmissions is how many times each change of an engine state is sent:
	// three times log2 of 380 daemons.
	changeTransmissions = 26
	// startupQuietPeriod is how long after a daemon's start it does not pass on the first
	// state that it receives of each engine.
	startupQuietPeriod = 30 * time.Second
	// missingMinInterval and missingMaxInterval bound the interval between two rounds of
	// requests for missing engine states. The first round comes within the minimum, and
	// the interval doubles from the minimum up to the maximum.
	missingMinInterval = time.Second
	missingMaxInterval = 30 * time.Second
)

// gossip detects failed daemons by probes and exchanges updates about daemons, engines
// and their load with other daemons.
type gossip struct {
	daemon *Daemon
	// rng is used only by the goroutine of runFetchMissing.
	rng *rand.Rand

	// mu guards members and engines.
	mu      sync.Mutex
	members *membership.State
	engines *engineview.View
}

func newGossip(d *Daemon) *gossip {
	self := membership.Member{
		Address:     d.settings.Listen.Peer,
		Name:        d.settings.Name,
		DataCentre:  d.settings.DataCentre,
		Run:         d.incarnation,
		Incarnation: d.started.UnixMilli(),
	}
	opts := membership.Options{SuspectTimeout: suspectTimeout, DeadRetention: deadRetention, MaxUpdates: maxMemberUpdates}
	g := &gossip{
		daemon:  d,
		members: membership.New(self, opts, rand.New(rand.NewPCG(d.deps.Seed, 1))),
		engines: engineview.New(changeTransmissions, d.started.Add(startupQuietPeriod)),
		rng:     rand.New(rand.NewPCG(d.deps.Seed, 5)),
	}
	for _, address := range d.settings.Peers {
		g.members.Add(membership.Member{Address: address}, d.started)
	}
	return g
}

// withLock runs f while holding g.mu.
func (g *gossip) withLock(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
}

// applyVMList adds the daemons on the VM list to the members and removes the state of
// engines that are not on the list.
func (g *gossip) applyVMList(vms []port.VM) {
	now := time.Now()
	keep := make([]port.VM, 0, len(vms))
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, vm := range vms {
		if vm.Kind != port.KindService {
			keep = append(keep, vm)
		}
		if vm.Kind == port.KindDaemon && vm.PeerAddress != "" {
			g.members.Add(membership.Member{Address: vm.PeerAddress, Name: vm.ID, DataCentre: vm.DataCentre}, now)
		}
	}
	g.engines.Retain(keep)
}

// Members returns all other daemons.
func (g *gossip) Members() []membership.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Members()
}

// membershipGeneration returns a number that increases whenever a daemon joins, leaves or
// changes its status.
func (g *gossip) membershipGeneration() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Generation()
}

// liveAddresses returns the peer addresses of the daemons of a data centre that are alive
// or suspected, including this one. An empty name selects every data centre.
func (g *gossip) liveAddresses(dataCentre string) []string {
	var out []string
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range append(g.members.Members(), g.members.Self()) {
		live := m.Status == membership.Alive || m.Status == membership.Suspect
		if live && (dataCentre == "" || m.DataCentre == dataCentre) {
			out = append(out, m.Address)
		}
	}
	return out
}

// run starts a probe at each probe interval until the daemon stops. It does not wait for
// the probes.
func (g *gossip) run() error {
	ctx := g.daemon.context()
	runEvery(ctx, g.daemon.settings.Timing.ProbeInterval.Std(), func(ctx context.Context) {
		g.daemon.tomb.Go(func() error {
			g.probeNext(ctx)
			return nil
		})
	})
	return nil
}

// runFetchMissing fetches the states of engines that are on the VM list but whose state
// has not been received. The first round starts after a random delay, so that daemons
// that start at the same time do not send their requests at the same time.
func (g *gossip) runFetchMissing() error {
	ctx := g.daemon.context()
	clock.Sleep(ctx, time.Duration(g.rng.Int64N(int64(missingMinInterval))))
	for interval := missingMinInterval; ctx.Err() == nil; interval = min(2*interval, missingMaxInterval) {
		g.fetchMissing(ctx)
		clock.Sleep(ctx, interval)
	}
	return nil
}

// fetchMissing fetches the missing engine states of each data centre from a random one of
// the daemons that may poll its engines.
func (g *gossip) fetchMissing(ctx context.Context) {
	var missing map[string][]uint32
	g.withLock(func() { missing = g.engines.MissingKeys() })
	for _, dataCentre := range slices.Sorted(maps.Keys(missing)) {
		candidates := slices.DeleteFunc(g.daemon.fleet.pollCandidates(dataCentre), func(a string) bool {
			return a == g.daemon.settings.Listen.Peer
		})
		if len(candidates) == 0 {
			continue
		}
		g.fetchEngineStates(ctx, candidates[g.rng.IntN(len(candidates))], missing[dataCentre], g.engines.ApplyFetched)
	}
}

// probeNext probes one member, first directly, then through relays. If all probes fail,
// it records the failure, and the member becomes suspected.
func (g *gossip) probeNext(ctx context.Context) {
	var target membership.Member
	var relays []membership.Member
	var ok bool
	g.withLock(func() {
		g.members.Tick(time.Now())
		if target, ok = g.members.NextTarget(); ok {
			relays = g.members.Relays(target.Address, relayCount)
		}
	})
	if !ok || g.probe(ctx, target) == nil || g.probeThroughRelays(ctx, target.Address, relays) {
		return
	}
	if ctx.Err() == nil {
		g.withLock(func() { g.members.RecordProbeFailure(target.Address, time.Now()) })
		g.daemon.metrics.ProbesFailed.Add(1)
	}
}

// probe exchanges updates with one member and records the round-trip time.
func (g *gossip) probe(ctx context.Context, target membership.Member) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var response membership.Message
	peer := g.daemon.deps.Peers(target.Address)
	sent := time.Now()
	if err := peer.Call(ctx, membership.MethodProbe, g.outgoingMessage(target), &response); err != nil {
		return err
	}
	g.daemon.distances.Observe(response.From.DataCentre, time.Since(sent))
	g.applyMessage(response)
	return nil
}

// probeThroughRelays requests probes of a member from other daemons and reports whether
// one succeeded.
func (g *gossip) probeThroughRelays(ctx context.Context, address string, relays []membership.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*probeTimeout)
	defer cancel()
	results := make(chan bool, len(relays))
	for _, r := range relays {
		go func() {
			params := membership.RelayParams{Address: address}
			results <- g.daemon.deps.Peers(r.Address).Call(ctx, membership.MethodRelay, params, nil) == nil
		}()
	}
	for range relays {
		if <-results {
			return true
		}
	}
	return false
}

// outgoingMessage returns the updates to send to a daemon with a probe or its response.
func (g *gossip) outgoingMessage(to membership.Member) membership.Message {
	hash, at := g.daemon.fleet.vmsVersion()
	m := membership.Message{VMsHash: hash, VMsTime: at.UnixMilli()}
	if s := g.daemon.config.Snapshot(); s != nil {
		m.Revision = s.Revision
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	m.From = g.members.Self()
	m.Members = g.members.Outgoing(to.Address)
	m.Engines = g.engines.Changes(maxEngineChanges, now)
	m.Loads = g.engines.PackLoads(to.DataCentre, maxLoads, now)
	return m
}

// applyMessage applies the updates of a probe or its response. It fetches the states of
// engines whose checksum differs from the local one in the background.
func (g *gossip) applyMessage(m membership.Message) {
	now := time.Now()
	var mismatched []uint32
	g.withLock(func() {
		g.members.RecordContact(m.From, now)
		for _, member := range m.Members {
			g.members.Apply(member, now)
		}
		g.engines.Apply(m.Engines, now)
		mismatched = g.engines.ApplyLoads(m.Loads, now)
	})
	g.daemon.fleet.applyPeerMessage(m)
	if len(mismatched) > 0 {
		go g.fetchEngineStates(g.daemon.context(), m.From.Address, mismatched, g.engines.Apply)
	}
}

// fetchEngineStates fetches the states of some engines from a peer and applies them. The
// newer observation of an engine takes precedence, so a peer with outdated states does
// not overwrite newer ones.
func (g *gossip) fetchEngineStates(ctx context.Context, address string, keys []uint32, apply func([]engineview.Change, time.Time)) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var changes []engineview.Change
	params := membership.EnginesParams{Keys: keys}
	if err := g.daemon.deps.Peers(address).Call(ctx, membership.MethodEngines, params, &changes); err != nil {
		g.daemon.log.Debug("fetch of engine states from peer failed", zap.String("peer-address", address), zap.Error(err))
		return
	}
	g.withLock(func() { apply(changes, time.Now()) })
	g.daemon.fleet.publishReports()
}

// handleEngines handles a peer's request for the states of some engines.
func (g *gossip) handleEngines(_ context.Context, params json.RawMessage) (any, error) {
	var in membership.EnginesParams
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, trace.BadParameter("params: %v", err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.engines.ChangesByKey(in.Keys, time.Now()), nil
}

// handleProbe handles a probe: it applies the peer's updates and responds with its own.
func (g *gossip) handleProbe(_ context.Context, params json.RawMessage) (any, error) {
	var in membership.Message
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, trace.BadParameter("params: %v", err)
	}
	g.applyMessage(in)
	return g.outgoingMessage(in.From), nil
}

// handleRelay handles a request to probe a member on behalf of a peer.
func (g *gossip) handleRelay(ctx context.Context, params json.RawMessage) (any, error) {
	var in membership.RelayParams
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, trace.BadParameter("params: %v", err)
	}
	return struct{}{}, g.probe(ctx, membership.Member{Address: in.Address})
}

// handleView handles a starting daemon's request for all members and engine states.
func (g *gossip) handleView(context.Context, json.RawMessage) (any, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return membership.View{
		Members: append(g.members.Members(), g.members.Self()),
		Engines: g.engines.All(time.Now()),
	}, nil
}

// join fetches all members and engine states from the first known daemon that responds.
func (g *gossip) join(ctx context.Context) {
	for _, m := range g.Members() {
		if g.joinFrom(ctx, m.Address) {
			return
		}
	}
}

// joinFrom fetches all members and engine states from one daemon and reports whether it
// succeeded.
func (g *gossip) joinFrom(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var view membership.View
	err := g.daemon.deps.Peers(address).Call(ctx, membership.MethodView, struct{}{}, &view)
	if err != nil {
		g.daemon.log.Debug("fetch of members and engine states from peer failed", zap.String("peer-address", address), zap.Error(err))
		return false
	}
	now := time.Now()
	g.withLock(func() {
		for _, member := range view.Members {
			g.members.Apply(member, now)
		}
		g.engines.ApplyFetched(view.Engines, now)
	})
	return true
}

// leave announces to relayCount daemons that this one stops; they pass the update on.
func (g *gossip) leave(ctx context.Context) {
	var targets []membership.Member
	g.withLock(func() {
		g.members.Leave()
		targets = g.members.Relays("", relayCount)
	})
	for _, m := range targets {
		if err := g.probe(ctx, m); err != nil {
			g.daemon.log.Debug("announcement of leaving failed", zap.String("peer-address", m.Address), zap.Error(err))
		}
	}
}
