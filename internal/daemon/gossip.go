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
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// relayCount is the number of daemons that probe a member in turn when it does
	// not answer directly.
	relayCount = 2
	// suspectTimeout is how long a suspect may refute.
	suspectTimeout = 4 * time.Second
	// deadRetention is how long a dead daemon is remembered.
	deadRetention = 10 * time.Minute
	// maxMemberUpdates, maxEngineChanges and maxLoads bound one message.
	maxMemberUpdates = 4
	maxEngineChanges = 2
	maxLoads         = 16
	// changeTransmissions is how often a change of an engine is passed on: three times
	// log2 of 380 daemons.
	changeTransmissions = 26
	// startupQuietPeriod is how long after a daemon's start the first states of engines are
	// not passed on. Asking for states that are missing begins within missingFirst
	// and is repeated after a pause that doubles up to missingInterval.
	startupQuietPeriod = 30 * time.Second
	missingMinInterval = time.Second
	missingMaxInterval = 30 * time.Second
)

// gossip probes other daemons and exchanges news with them.
type gossip struct {
	daemon *Daemon
	// rng is used by runMissing only.
	rng *rand.Rand

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
	opts := membership.Options{SuspectFor: suspectTimeout, ForgetAfter: deadRetention, MaxUpdates: maxMemberUpdates}
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

// withLock runs f while no other call changes the state.
func (g *gossip) withLock(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
}

// applyVMList makes the daemons of the VM list known and forgets engines that are not
// on it.
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

// membershipGeneration grows whenever a daemon joins, leaves or changes its status.
func (g *gossip) membershipGeneration() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Generation()
}

// liveAddresses returns the peer addresses of the daemons of a data centre that count as
// alive, this one included. An empty name selects every data centre.
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

// runFetchMissing asks for the states of engines that are on the VM list and of which no
// state came. The first round comes after a random part of the interval, so that a
// fleet that starts at once does not ask at once.
func (g *gossip) runFetchMissing() error {
	ctx := g.daemon.context()
	clock.Sleep(ctx, time.Duration(g.rng.Int64N(int64(missingMinInterval))))
	for pause := missingMinInterval; ctx.Err() == nil; pause = min(2*pause, missingMaxInterval) {
		g.fetchMissing(ctx)
		clock.Sleep(ctx, pause)
	}
	return nil
}

// fetchMissing asks a daemon of each data centre for the missing states there.
func (g *gossip) fetchMissing(ctx context.Context) {
	var missing map[string][]uint32
	g.withLock(func() { missing = g.engines.Missing() })
	for _, dataCentre := range slices.Sorted(maps.Keys(missing)) {
		candidates := slices.DeleteFunc(g.daemon.fleet.pollCandidates(dataCentre), func(a string) bool {
			return a == g.daemon.settings.Listen.Peer
		})
		if len(candidates) == 0 {
			continue
		}
		g.fetchEngineStates(ctx, candidates[g.rng.IntN(len(candidates))], missing[dataCentre], g.engines.Adopt)
	}
}

// probeNext probes one member, first directly, then through relays.
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
		g.withLock(func() { g.members.Failed(target.Address, time.Now()) })
		g.daemon.metrics.ProbesFailed.Add(1)
	}
}

// probe exchanges news with one member.
func (g *gossip) probe(ctx context.Context, target membership.Member) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var answer membership.Message
	peer := g.daemon.deps.Peers(target.Address)
	sent := time.Now()
	if err := peer.Call(ctx, membership.MethodProbe, g.outgoingMessage(target), &answer); err != nil {
		return err
	}
	g.daemon.distances.Observe(answer.From.DataCentre, time.Since(sent))
	g.applyMessage(answer)
	return nil
}

// probeThroughRelays asks other daemons to probe a member and tells whether one succeeded.
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

// outgoingMessage returns the news for a probe or an answer to a daemon.
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
	m.Loads = g.engines.Loads(to.DataCentre, maxLoads, now)
	return m
}

// applyMessage takes in the news of a probe or an answer.
func (g *gossip) applyMessage(m membership.Message) {
	now := time.Now()
	var different []uint32
	g.withLock(func() {
		g.members.Heard(m.From, now)
		for _, member := range m.Members {
			g.members.Apply(member, now)
		}
		g.engines.Apply(m.Engines, now)
		different = g.engines.ApplyLoads(m.Loads, now)
	})
	g.daemon.fleet.applyPeerMessage(m)
	if len(different) > 0 {
		go g.fetchEngineStates(g.daemon.context(), m.From.Address, different, g.engines.Apply)
	}
}

// fetchEngineStates takes the state of some engines from a peer that knows it
// differently. The newer observation wins, so a peer that is behind does no harm.
func (g *gossip) fetchEngineStates(ctx context.Context, address string, keys []uint32, take func([]engineview.Change, time.Time)) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var changes []engineview.Change
	params := membership.EnginesParams{Keys: keys}
	if err := g.daemon.deps.Peers(address).Call(ctx, membership.MethodEngines, params, &changes); err != nil {
		g.daemon.log.Debug("peer gave no engine states", zap.String("peer-address", address), zap.Error(err))
		return
	}
	g.withLock(func() { take(changes, time.Now()) })
	g.daemon.fleet.publishReports()
}

func (g *gossip) handleEngines(_ context.Context, params json.RawMessage) (any, error) {
	var in membership.EnginesParams
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, trace.BadParameter("params: %v", err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.engines.Select(in.Keys, time.Now()), nil
}

func (g *gossip) handleProbe(_ context.Context, params json.RawMessage) (any, error) {
	var in membership.Message
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, trace.BadParameter("params: %v", err)
	}
	g.applyMessage(in)
	return g.outgoingMessage(in.From), nil
}

func (g *gossip) handleRelay(ctx context.Context, params json.RawMessage) (any, error) {
	var in membership.RelayParams
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, trace.BadParameter("params: %v", err)
	}
	return struct{}{}, g.probe(ctx, membership.Member{Address: in.Address})
}

func (g *gossip) handleView(context.Context, json.RawMessage) (any, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return membership.View{
		Members: append(g.members.Members(), g.members.Self()),
		Engines: g.engines.All(time.Now()),
	}, nil
}

// join asks known daemons, until one answers, for everything that they know.
func (g *gossip) join(ctx context.Context) {
	for _, m := range g.Members() {
		if g.joinFrom(ctx, m.Address) {
			return
		}
	}
}

func (g *gossip) joinFrom(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var view membership.View
	err := g.daemon.deps.Peers(address).Call(ctx, membership.MethodView, struct{}{}, &view)
	if err != nil {
		g.daemon.log.Debug("peer gave no view", zap.String("peer-address", address), zap.Error(err))
		return false
	}
	now := time.Now()
	g.withLock(func() {
		for _, member := range view.Members {
			g.members.Apply(member, now)
		}
		g.engines.Adopt(view.Engines, now)
	})
	return true
}

// leave tells a few daemons that this one stops; they pass it on.
func (g *gossip) leave(ctx context.Context) {
	var targets []membership.Member
	g.withLock(func() {
		g.members.Leave()
		targets = g.members.Relays("", relayCount)
	})
	for _, m := range targets {
		if err := g.probe(ctx, m); err != nil {
			g.daemon.log.Debug("leave not announced", zap.String("peer-address", m.Address), zap.Error(err))
		}
	}
}
