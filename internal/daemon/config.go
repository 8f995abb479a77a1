package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/profile"
)

// methodConfigRecords transfers configuration records between daemons.
const methodConfigRecords = "config.records"

const (
	// peerPollInterval is the time between rounds in which a daemon without access
	// to the log requests records from peers.
	peerPollInterval = 500 * time.Millisecond
	// peerPollTimeout bounds one request to a peer.
	peerPollTimeout = time.Second
	// peersPerPoll is the number of peers queried in a round. Successive rounds
	// cover all peers in random order, so querying a fleet of 7 daemons takes 1 s.
	peersPerPoll = 3
	// initialPeersPerPoll is the number of peers queried in a round before the
	// first configuration is in force, so that a daemon starts with the newest one.
	initialPeersPerPoll = 8
	// lossReportDelay is how long a daemon searches for records that it lost before
	// it reports the loss to operators. A daemon that has the records writes a
	// checkpoint within maxCheckpointDelay.
	lossReportDelay = maxCheckpointDelay + 3*time.Second
)

// recordsRequest is the parameter of methodConfigRecords.
type recordsRequest struct {
	// From is the next offset that the sender expects.
	From int64 `json:"from"`
	// Checkpoint requests a checkpoint instead of records.
	Checkpoint bool `json:"checkpoint,omitempty"`
}

// configFollower applies the configuration stream, read from the log or transferred
// by peers, and publishes snapshots.
type configFollower struct {
	follower
	// state is the state machine of the follower.
	state    *profile.State
	snapshot atomic.Pointer[profile.Snapshot]
	// lossSince is when records were found to be lost, or zero if none are.
	// lossReported is set once the loss has been reported to operators. Both are
	// guarded by follower.mu.
	lossSince    time.Time
	lossReported bool

	// The fields below are used only by runPeers. remainingPeers holds the
	// addresses of the peers not yet queried in this pass, lastUsefulPeer that of
	// the peer that last supplied new records.
	peerRNG        *rand.Rand
	remainingPeers []string
	lastUsefulPeer string
}

func newConfigFollower(d *Daemon) *configFollower {
	state := profile.NewState()
	c := &configFollower{
		state:   state,
		peerRNG: rand.New(rand.NewPCG(d.deps.Seed, 2)),
	}
	c.follower = follower{
		daemon:     d,
		stream:     profile.Stream,
		limits:     profile.CheckpointLimits,
		wait:       readWait,
		machine:    state,
		rng:        rand.New(rand.NewPCG(d.deps.Seed, 1)),
		apply:      c.applyRecord,
		caughtUp:   c.publish,
		checkpoint: func() any { return state.Checkpoint() },
		writers:    func() []string { return vmIDs(d.fleet.daemons()) },
	}
	return c
}

// vmIDs returns the ids of VMs.
func vmIDs(vms []port.VM) []string {
	out := make([]string, len(vms))
	for i, vm := range vms {
		out[i] = vm.ID
	}
	return out
}

// Snapshot returns the configuration in force, or nil.
func (c *configFollower) Snapshot() *profile.Snapshot { return c.snapshot.Load() }

// applyRecord applies one record; the caller holds c.mu. Once a configuration is in
// force, each accepted revision replaces it at once. Before that, only publish puts
// a revision in force, so that a starting daemon does not serve with revisions that
// are already superseded.
func (c *configFollower) applyRecord(rec port.Record) {
	nextBefore := c.state.Next()
	decision, err := c.state.Apply(rec)
	switch {
	case errors.Is(err, profile.ErrNewerSchema):
		c.daemon.log.Error("configuration requires a newer daemon version", zap.Int64("offset", rec.Offset), zap.Error(err))
	case err != nil:
		c.daemon.log.Warn("configuration record not applied", zap.Int64("offset", rec.Offset), zap.Error(err))
	case rec.Offset >= nextBefore && !decision.Accepted && decision.Reason != "":
		c.daemon.log.Warn("configuration rejected",
			zap.String("record-id", rec.ID),
			zap.Int64("offset", rec.Offset),
			zap.String("reason", decision.Reason),
			zap.Any("findings", decision.Findings),
		)
	}
	if c.snapshot.Load() != nil {
		c.storeSnapshot()
	}
}

// publish puts the newest revision in force.
func (c *configFollower) publish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeSnapshot()
}

// storeSnapshot puts the newest revision in force unless that revision or a later one is
// in force already. The caller holds c.mu.
func (c *configFollower) storeSnapshot() {
	next, current := c.state.Current(), c.snapshot.Load()
	if next == nil || (current != nil && next.Revision <= current.Revision) {
		return
	}
	c.snapshot.Store(next)
	c.daemon.retryLimiter.retainProfiles(next)
	c.daemon.fleet.refreshClosedUpstreams()
	c.daemon.metrics.Revision.Set(next.Revision)
	c.daemon.log.Info("configuration in force", zap.Int64("revision", next.Revision))
}

// runPeers calls pollPeers at each peerPollInterval until the daemon stops.
func (c *configFollower) runPeers() error {
	runEvery(c.daemon.context(), peerPollInterval, c.pollPeers)
	return nil
}

// watchLoss reports to operators, in the log and by a metric, that records have been lost
// for lossReportDelay, because operators have to decide how to continue.
func (c *configFollower) watchLoss() {
	c.mu.Lock()
	defer c.mu.Unlock()
	loss := c.state.Loss()
	switch {
	case loss == nil && c.lossReported:
		c.daemon.log.Info("configuration stream is complete again", zap.Int64("next", c.state.Next()))
		fallthrough
	case loss == nil:
		c.lossSince, c.lossReported = time.Time{}, false
	case c.lossSince.IsZero():
		c.lossSince = time.Now()
	case !c.lossReported && time.Since(c.lossSince) >= lossReportDelay:
		c.lossReported = true
		c.daemon.log.Error("configuration records expired before this daemon read them and no peer has them;"+
			" no later revision takes effect until an operator publishes with --after-loss",
			zap.Int64("next", c.state.Next()),
			zap.Int64("first", loss.First),
			zap.Int64("newest", loss.Newest),
		)
	}
	c.daemon.metrics.ConfigurationLost.Set(0)
	if c.lossReported {
		c.daemon.metrics.ConfigurationLost.Set(1)
	}
}

// reportedLoss returns the loss that operators have to resolve, or nil.
func (c *configFollower) reportedLoss() *profile.Loss {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lossReported {
		return nil
	}
	return c.state.Loss()
}

// pollPeers requests records from some peers while the log does not supply them.
func (c *configFollower) pollPeers(ctx context.Context) {
	c.watchLoss()
	if c.isCurrent() {
		return
	}
	addresses := c.choosePeers()
	transfers := make([]*profile.Transfer, len(addresses))
	var group sync.WaitGroup
	for i, address := range addresses {
		group.Go(func() { transfers[i] = c.requestRecords(ctx, address) })
	}
	group.Wait()
	answered := false
	for i, transfer := range transfers {
		if transfer == nil {
			continue
		}
		answered = true
		if c.applyTransfer(*transfer) {
			c.lastUsefulPeer = addresses[i]
		}
	}
	if answered {
		c.publish()
	}
}

// choosePeers returns the next peers of a random order that covers all peers,
// together with the peer that last supplied new records.
func (c *configFollower) choosePeers() []string {
	count := peersPerPoll
	if c.Snapshot() == nil {
		count = initialPeersPerPoll
	}
	if len(c.remainingPeers) == 0 {
		c.remainingPeers = c.daemon.peerAddresses()
		c.peerRNG.Shuffle(len(c.remainingPeers), func(i, j int) { c.remainingPeers[i], c.remainingPeers[j] = c.remainingPeers[j], c.remainingPeers[i] })
	}
	count = min(count, len(c.remainingPeers))
	chosen := slices.Clone(c.remainingPeers[:count])
	c.remainingPeers = c.remainingPeers[count:]
	if c.lastUsefulPeer != "" && !slices.Contains(chosen, c.lastUsefulPeer) {
		chosen = append(chosen, c.lastUsefulPeer)
	}
	return chosen
}

// peerAddresses returns the sorted peer addresses of all other known daemons.
func (d *Daemon) peerAddresses() []string {
	out := slices.Clone(d.settings.Peers)
	for _, vm := range d.fleet.daemons() {
		out = append(out, vm.PeerAddress)
	}
	slices.Sort(out)
	out = slices.Compact(out)
	return slices.DeleteFunc(out, func(a string) bool { return a == d.settings.Listen.Peer })
}

// requestRecords requests records from a peer, or a checkpoint while this daemon is
// recovering. It returns nil if the request fails.
func (c *configFollower) requestRecords(ctx context.Context, address string) *profile.Transfer {
	ctx, cancel := context.WithTimeout(ctx, peerPollTimeout)
	defer cancel()
	c.mu.Lock()
	request := recordsRequest{From: c.state.Next(), Checkpoint: c.state.Recovering()}
	c.mu.Unlock()
	transfer := &profile.Transfer{}
	if err := c.daemon.deps.Peers(address).Call(ctx, methodConfigRecords, request, transfer); err != nil {
		c.daemon.log.Debug("failed to fetch configuration records from peer", zap.String("peer", address), zap.Error(err))
		return nil
	}
	return transfer
}

// applyTransfer applies the records or the checkpoint of a peer and reports whether
// they advanced the state.
func (c *configFollower) applyTransfer(transfer profile.Transfer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	nextBefore := c.state.Next()
	if transfer.Checkpoint != nil {
		if err := c.state.Restore(transfer.Checkpoint); err != nil {
			c.daemon.log.Error("failed to apply configuration checkpoint from peer", zap.Error(err))
		}
	}
	for _, rec := range transfer.Records {
		c.applyRecord(rec)
	}
	return c.state.Next() > nextBefore
}

// handleRecords handles methodConfigRecords.
func (c *configFollower) handleRecords(_ context.Context, params json.RawMessage) (any, error) {
	var request recordsRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, trace.BadParameter("params: %v", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if request.Checkpoint && c.state.Next() > request.From {
		return profile.Transfer{Checkpoint: c.state.Checkpoint()}, nil
	}
	return c.state.Since(request.From), nil
}
