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

// methodConfigRecords passes configuration records between daemons.
const methodConfigRecords = "config.records"

const (
	// peerPollInterval is the time between rounds in which a daemon without the
	// log asks peers.
	peerPollInterval = 500 * time.Millisecond
	// peerPollTimeout bounds one question to a peer.
	peerPollTimeout = time.Second
	// peersPerPoll is the number of peers asked in a round. Rounds go through all
	// peers in random order, so a fleet of 7 daemons is asked in 1 s.
	peersPerPoll = 3
	// initialPeersPerPoll is asked before the first configuration is in force, to start
	// with the newest one.
	initialPeersPerPoll = 8
	// lossReportDelay is how long a daemon looks for the records that it lost before it
	// tells operators. A daemon that has them writes a checkpoint within
	// maxCheckpointDelay.
	lossReportDelay = maxCheckpointDelay + 3*time.Second
)

// recordsRequest is the argument of methodConfigRecords.
type recordsRequest struct {
	// From is the offset that the sender expects next.
	From int64 `json:"from"`
	// Checkpoint asks for a checkpoint in place of records.
	Checkpoint bool `json:"checkpoint,omitempty"`
}

// configFollower applies the configuration stream, or what peers pass on of it,
// and publishes snapshots.
type configFollower struct {
	follower
	// state is the follower's machine.
	state    *profile.State
	snapshot atomic.Pointer[profile.Snapshot]
	// lossSince is since when records are lost, zero when none are; lossReported
	// tells that operators were told. Both are guarded by the follower's lock.
	lossSince    time.Time
	lossReported bool

	// Used by runPeers only: unasked holds the addresses of peers that were not
	// asked in this pass, informed the one that last had news.
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
		limits:     profile.Limits,
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

func vmIDs(vms []port.VM) []string {
	out := make([]string, len(vms))
	for i, vm := range vms {
		out[i] = vm.ID
	}
	return out
}

// Snapshot returns the configuration in force, or nil.
func (c *configFollower) Snapshot() *profile.Snapshot { return c.snapshot.Load() }

// applyRecord decides about one record; the lock is held. Once a configuration
// is in force each revision replaces it at once; before, only publish does, so
// that a starting daemon does not serve with revisions that are superseded.
func (c *configFollower) applyRecord(rec port.Record) {
	before := c.state.Next()
	verdict, err := c.state.Apply(rec)
	switch {
	case errors.Is(err, profile.ErrNewerSchema):
		c.daemon.log.Error("configuration needs a newer program", zap.Int64("offset", rec.Offset), zap.Error(err))
	case err != nil:
		c.daemon.log.Warn("configuration record not applied", zap.Int64("offset", rec.Offset), zap.Error(err))
	case rec.Offset >= before && !verdict.Accepted && verdict.Reason != "":
		c.daemon.log.Warn("configuration rejected",
			zap.String("record-id", rec.ID),
			zap.Int64("offset", rec.Offset),
			zap.String("reason", verdict.Reason),
			zap.Any("findings", verdict.Findings),
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

// storeSnapshot never replaces a revision with an earlier one; the lock is held.
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

func (c *configFollower) runPeers() error {
	runEvery(c.daemon.context(), peerPollInterval, c.pollPeers)
	return nil
}

// watchLoss tells operators that records are lost, which needs their decision.
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

// reportedLoss returns the loss that operators have to decide about, or nil.
func (c *configFollower) reportedLoss() *profile.Loss {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lossReported {
		return nil
	}
	return c.state.Loss()
}

// pollPeers asks some peers for records while the log does not supply them.
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

// choosePeers returns the peer that last had news and the next ones of a random
// order in which every peer gets its turn.
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

// peerAddresses returns the peer addresses of all other known daemons.
func (d *Daemon) peerAddresses() []string {
	out := slices.Clone(d.settings.Peers)
	for _, vm := range d.fleet.daemons() {
		out = append(out, vm.PeerAddress)
	}
	slices.Sort(out)
	out = slices.Compact(out)
	return slices.DeleteFunc(out, func(a string) bool { return a == d.settings.Listen.Peer })
}

func (c *configFollower) requestRecords(ctx context.Context, address string) *profile.Transfer {
	ctx, cancel := context.WithTimeout(ctx, peerPollTimeout)
	defer cancel()
	c.mu.Lock()
	request := recordsRequest{From: c.state.Next(), Checkpoint: c.state.Recovering()}
	c.mu.Unlock()
	transfer := &profile.Transfer{}
	if err := c.daemon.deps.Peers(address).Call(ctx, methodConfigRecords, request, transfer); err != nil {
		c.daemon.log.Debug("peer did not pass on configuration", zap.String("peer", address), zap.Error(err))
		return nil
	}
	return transfer
}

// applyTransfer applies what a peer passed on and tells whether it was news.
func (c *configFollower) applyTransfer(transfer profile.Transfer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.state.Next()
	if transfer.Checkpoint != nil {
		if err := c.state.Restore(transfer.Checkpoint); err != nil {
			c.daemon.log.Error("checkpoint from peer not applied", zap.Error(err))
		}
	}
	for _, rec := range transfer.Records {
		c.applyRecord(rec)
	}
	return c.state.Next() > before
}

// serveRecords answers methodConfigRecords.
func (c *configFollower) serveRecords(_ context.Context, params json.RawMessage) (any, error) {
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
