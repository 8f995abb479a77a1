package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/adapter/clock"
	"bergamotsill.example/bergamotsill/internal/lease"
	"bergamotsill.example/bergamotsill/internal/order"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/rendezvous"
)

// Methods of the peer interface.
const (
	// methodDrainAck asks a daemon to acknowledge a drain.
	methodDrainAck = "drain.ack"
	// methodDrains returns the checkpoint of a control stream to a starting daemon.
	methodDrains = "drain.open"
)

const (
	// leaseInterval is how often a renewal or a claim of the lease is considered,
	// controlInterval how often the controller runs a step, and streamsInterval how
	// often the VM list is checked for further data centres to follow.
	leaseInterval   = 250 * time.Millisecond
	controlInterval = 250 * time.Millisecond
	streamsInterval = 250 * time.Millisecond
	// maxClaimDelay bounds the random delay after which daemons that the hash did
	// not choose claim the lease.
	maxClaimDelay = 5 * time.Second
	// maxListAge is the maximum age of a VM list that proves that a VM has left.
	maxListAge = 5 * time.Second
	// leaseReleaseTimeout bounds the release of the lease at a graceful stop. If
	// the log is unavailable, the lease expires instead.
	leaseReleaseTimeout = 3 * time.Second
	// ackTimeout bounds one call to a peer for an acknowledgement, a token report or
	// the open drains.
	ackTimeout = time.Second
	// drainPeerDelay is the time after which a starting daemon requests the open
	// drains from peers. The log is tried first, because the state of a peer may be
	// outdated.
	drainPeerDelay = 6 * time.Second
)

// ackRequest is the parameter of methodDrainAck and, with only DataCentre set, of
// methodDrains.
type ackRequest struct {
	DataCentre string `json:"data_centre"`
	Engine     string `json:"engine,omitempty"`
	Drain      int64  `json:"drain,omitempty"`
}

// ackResponse is the response to methodDrainAck.
type ackResponse struct {
	// Drained is set if the daemon has applied the drain, starts no further requests
	// at the engine and has none in flight there.
	Drained bool `json:"drained"`
}

// controlFollower follows the control stream of one data centre.
type controlFollower struct {
	follower
	state   *order.State
	started time.Time
	// synced is set once the open drains of the data centre are known.
	synced atomic.Bool
}

// orders follows the control streams of all data centres, so that this daemon
// applies their drains, and issues engine orders while this daemon holds the lease
// of its own data centre.
type orders struct {
	daemon     *Daemon
	opts       lease.Options
	controller *order.Controller
	// stopping is set at a graceful stop. It ends lease claims, renewals and new
	// orders.
	stopping atomic.Bool
	// drainsLoaded is set once the open drains are known for every data centre that
	// has a follower.
	drainsLoaded atomic.Bool

	// mu guards controls, which are keyed by data centre.
	mu       sync.Mutex
	controls map[string]*controlFollower

	// stepToken holds a token during a step of the controller and during the
	// release of the lease. It is a channel because a step waits for the network,
	// and waiting for a mutex would stop the virtual time of tests. The token
	// guards the fields below up to lastTokenCollection, except tokenCounter, which
	// has its own lock.
	stepToken chan struct{}
	// acknowledged holds, by data centre, engine and drain, the VM ids of the daemons
	// that acknowledged the drain.
	acknowledged map[ackRequest]map[string]bool
	// lastListed is when each VM was last on the VM list. lastListTime is the time
	// of the newest list that was recorded. firstListRead and lastListRead are when
	// this daemon recorded the first and the newest list.
	lastListed                  map[string]time.Time
	lastListTime                time.Time
	firstListRead, lastListRead time.Time
	// knownDaemons holds the ids of all daemons that have ever been listed.
	knownDaemons map[string]bool

	// tokenCounter counts the tokens of the requests that this daemon admits. The
	// three fields below it are used only while this daemon holds the lease.
	tokenCounter        *tokenCounter
	rolePlanner         *rolePlanner
	lastTokenReports    map[string]tokenReport
	lastTokenCollection time.Time

	// leaseClaimAt is when this daemon claims a free lease; used by runLease only.
	leaseClaimAt time.Duration
	rng          *rand.Rand
}

func newOrders(d *Daemon) *orders {
	opts := lease.Options{
		Holder:   d.incarnation,
		Daemon:   d.settings.Name,
		Duration: d.settings.Timing.Lease.Std(),
		Drift:    d.settings.Timing.ClockDrift.Std(),
	}
	planner := newRolePlanner(d.roleDecisions.Add)
	planners := []order.Planner{order.VersionPlanner{}, planner}
	return &orders{
		daemon:           d,
		opts:             opts,
		controller:       order.NewController(opts, planners, d.newID),
		tokenCounter:     newTokenCounter(),
		rolePlanner:      planner,
		lastTokenReports: map[string]tokenReport{},
		stepToken:        make(chan struct{}, 1),
		controls:         map[string]*controlFollower{},
		acknowledged:     map[ackRequest]map[string]bool{},
		lastListed:       map[string]time.Time{},
		knownDaemons:     map[string]bool{},
		rng:              rand.New(rand.NewPCG(d.deps.Seed, 3)),
	}
}

// newControlFollower returns the follower of a data centre's control stream. Reads of the
// local stream wait for new records; remote streams are read at remoteReadInterval.
func (o *orders) newControlFollower(dataCentre string) *controlFollower {
	state := order.NewState(o.opts)
	c := &controlFollower{state: state, started: time.Now()}
	writers := func() []string { return vmIDs(o.daemon.fleet.daemonsIn(dataCentre)) }
	c.follower = follower{
		daemon:   o.daemon,
		stream:   order.Stream(dataCentre),
		limits:   order.CheckpointLimits,
		interval: remoteReadInterval,
		wakeUp:   make(chan struct{}, 1),
		machine:  state,
		rng:      rand.New(rand.NewPCG(o.daemon.deps.Seed, 4)),
		apply: func(rec port.Record) {
			state.Apply(rec, o.daemon.deps.Clock.Now())
		},
		caughtUp: func() {
			c.synced.Store(true)
			o.daemon.fleet.refreshClosedUpstreams()
		},
		checkpoint: func() any {
			return order.Record{Record: lease.Record{Kind: order.KindCheckpoint}, Checkpoint: state.Checkpoint()}
		},
		writers: writers,
	}
	if dataCentre == o.daemon.settings.DataCentre {
		c.wait, c.interval = readWait, 0
	}
	return c
}

// control returns the follower of a data centre's control stream, or nil.
func (o *orders) control(dataCentre string) *controlFollower {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.controls[dataCentre]
}

// allControls returns a copy of the followers by data centre.
func (o *orders) allControls() map[string]*controlFollower {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.controls)
}

// localControl returns the follower of this daemon's data centre, or nil.
func (o *orders) localControl() *controlFollower { return o.control(o.daemon.settings.DataCentre) }

// drainsKnown reports whether, at least once, the open drains were known for every
// data centre that had a follower.
func (o *orders) drainsKnown() bool { return o.drainsLoaded.Load() }

// isClosed reports whether an engine must receive no new requests: it is being
// drained, or this daemon does not know yet whether it is.
func (o *orders) isClosed(vm port.VM) bool {
	c := o.control(vm.DataCentre)
	if c == nil || !c.synced.Load() {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Engine(vm.ID).Drain > 0
}

// run starts a follower for each data centre whose engines appear on the VM list.
func (o *orders) run() error {
	runEvery(o.daemon.context(), streamsInterval, func(ctx context.Context) {
		// The list is empty until the VM list has been read.
		for _, vm := range o.daemon.fleet.latestVMList().VMs {
			if vm.Kind == port.KindEngine {
				o.ensureFollower(vm.DataCentre)
			}
		}
		o.loadDrains(ctx)
	})
	return nil
}

// ensureFollower starts the follower of a data centre unless it is already running.
// For the local data centre it also starts the writing of checkpoints.
func (o *orders) ensureFollower(dataCentre string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.controls[dataCentre]; ok {
		return
	}
	c := o.newControlFollower(dataCentre)
	o.controls[dataCentre] = c
	o.daemon.tomb.Go(c.run)
	if dataCentre == o.daemon.settings.DataCentre {
		o.daemon.tomb.Go(c.runCheckpoints)
	}
}

// runLease claims and renews the lease of this data centre.
func (o *orders) runLease() error {
	runEvery(o.daemon.context(), leaseInterval, o.maintainLease)
	return nil
}

// maintainLease renews the lease if a renewal is due, or claims it if it is free
// and this daemon may claim it.
func (o *orders) maintainLease(ctx context.Context) {
	c := o.localControl()
	if c == nil || o.stopping.Load() || !c.isCurrent() {
		return
	}
	now := o.daemon.deps.Clock.Now()
	id := o.daemon.newID()
	c.mu.Lock()
	var record lease.Record
	switch {
	case c.state.Lease.RenewalDue(now):
		record = c.state.Lease.Renew(id, now)
	case c.state.Lease.Claimable(now) && o.mayClaim(c, now):
		record = c.state.Lease.Claim(id, now)
	}
	c.mu.Unlock()
	if record.Kind == "" {
		return
	}
	o.appendAndWait(ctx, c, []string{id}, []order.Record{{Record: record}})
}

// mayClaim reports whether this daemon may claim the free lease now. The daemon
// that the hash chooses claims at once, the others after a random delay. The caller
// holds c.mu.
func (o *orders) mayClaim(c *controlFollower, now time.Duration) bool {
	if o.leaseClaimAt == 0 || now > o.leaseClaimAt+maxClaimDelay {
		o.leaseClaimAt = now
		key := fmt.Sprintf("%s/%d", c.stream, c.state.Lease.Lease().LastRecord)
		if rendezvous.First(key, vmIDs(o.daemon.fleet.daemonsIn(o.daemon.settings.DataCentre))) != o.daemon.settings.Name {
			o.leaseClaimAt += time.Duration(o.rng.Int64N(int64(maxClaimDelay)))
		}
	}
	if now < o.leaseClaimAt {
		return false
	}
	o.leaseClaimAt = 0
	return true
}

// appendAndWait appends records and waits until they have been read back, for at
// most 2 s. It reports no error: the state shows whether the records were accepted,
// and the next step is decided from the state, also after a lost response.
func (o *orders) appendAndWait(ctx context.Context, c *controlFollower, ids []string, records []order.Record) {
	entries := make([]port.Entry, len(records))
	for i, r := range records {
		data, err := json.Marshal(r)
		if err != nil {
			o.daemon.log.Error("failed to encode control record", zap.Error(err))
			return
		}
		entries[i] = port.Entry{ID: ids[i], Data: data}
	}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	offsets, err := o.daemon.deps.Log.Append(ctx, c.stream, entries)
	if err != nil {
		o.daemon.metrics.LogErrors.Add(1)
		return
	}
	lastOffset := offsets[len(offsets)-1]
	for ctx.Err() == nil {
		c.mu.Lock()
		next := c.state.Next()
		c.mu.Unlock()
		if next > lastOffset {
			return
		}
		clock.Sleep(ctx, 10*time.Millisecond)
	}
}

// releaseLease records the outcome of this daemon's order copies and releases the
// lease at a graceful stop, so that another daemon continues without delay. It
// waits for an order that is being sent.
func (o *orders) releaseLease(ctx context.Context) {
	o.stopping.Store(true)
	c := o.localControl()
	if c == nil {
		return
	}
	o.stepToken <- struct{}{}
	defer func() { <-o.stepToken }()
	ctx, cancel := context.WithTimeout(ctx, leaseReleaseTimeout)
	defer cancel()
	c.mu.Lock()
	records := o.controller.Relinquish(c.state)
	if c.state.Lease.Held(o.daemon.deps.Clock.Now()) {
		records = append(records, order.Record{Record: c.state.Lease.Release()})
	}
	c.mu.Unlock()
	if len(records) > 0 {
		o.appendRecords(ctx, c, records)
	}
}
