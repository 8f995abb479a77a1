package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/adapter/peer"
	"bergamotsill.example/bergamotsill/internal/patience"
	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/rendezvous"
	"bergamotsill.example/bergamotsill/internal/usage"
)

// Methods of the peer interface.
const (
	methodLoad   = "gateway.load"
	methodConfig = "gateway.config"
)

const (
	// loadInterval is how long load changes are batched before they are sent.
	loadInterval = 30 * time.Millisecond
	// partsInterval is how long prompt parts are batched for daemons that do not exchange loads
	// with this one. It is longer than loadInterval, because a message costs more than the parts
	// in it and there are many such daemons.
	partsInterval = 150 * time.Millisecond
	// heartbeatInterval is how often a daemon reports all its loads even without a change. It
	// is well below the age at which peers stop considering them valid.
	heartbeatInterval = 300 * time.Millisecond
	// unresponsiveAfter is the time without contact to any daemon of a data centre after which
	// the connection to it counts as lost: two heartbeats and a slow response.
	unresponsiveAfter = 800 * time.Millisecond
	// membershipInterval is how often the registry of daemons is read. A new daemon announces
	// itself with its first message, so the read only covers lost messages.
	membershipInterval = 30 * time.Second
	// eraCheckInterval is how often a daemon checks whether the store came back from an older copy.
	eraCheckInterval = 500 * time.Millisecond
)

// daemonEntry is the entry of a daemon in the registry.
type daemonEntry struct {
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// peerLink is the state of the connection to one peer. All fields but name, address, dataCentre
// and client are guarded by peers.mu.
type peerLink struct {
	name    string
	address string
	// dataCentre is the data centre named in the registry entry or message through which the
	// peer was added.
	dataCentre string
	client     port.Peer
	peerProcess
	// previous is what the peer's previous process reported last, until it is sent to the peer.
	previous *previousSlack
	// pendingLoads holds the newest load of each runner that was not sent to the peer yet.
	pendingLoads   map[string]runnerLoad
	pendingCrashes []queuedCrash
	pendingOrigins []queuedOrigin
	// usageDue is set if the peer is to be told what this daemon has counted of the usage.
	usageDue bool
	// toldUsage holds the counts that the peer's process was told.
	toldUsage usage.Told
	// cancelCall ends the call that is in flight.
	callInFlight bool
	cancelCall   context.CancelFunc
	// backoff is the pause after the last call to the peer, 0 if it got a response. limit is that of callLimit.
	backoff time.Duration
	limit   *patience.Limit
	// nextSend is the earliest time of the next message to the peer.
	nextSend time.Time
	// lastContact is when the peer last responded or called, heardAt when it last called.
	lastContact, heardAt time.Time
	// unreached holds the services whose runners the peer does not reach, told what it was last told of
	// this daemon.
	unreached, told []string
	// cellPeer is set for the daemons with which this one exchanges the loads of the same engines;
	// see placement.CellPeers. probe is set for the few daemons of each remote data centre
	// through which its reachability is monitored.
	cellPeer bool
	probe    bool
	// relaysParts is set for the one probe of each remote data centre to which this daemon sends
	// the prompt parts that are new in the local data centre; the probe forwards them within
	// its data centre.
	relaysParts bool
}

// peerProcess is what a process of a peer reported of itself last.
type peerProcess struct {
	// started is when the process started, in Unix milliseconds; 0 if it is unknown.
	started int64
	// usedSlack is the part of the constant retry limit that it had used at usedSlackAt.
	usedSlack   float64
	usedSlackAt time.Time
}

// departedMemory is how long a peer that left is remembered, so that its next process learns what
// it used. It is longer than any window of the retry limit.
const departedMemory = time.Minute

// peers exchanges load reports with the other daemons.
type peers struct {
	log *zap.Logger
	// started is when this process started, in Unix milliseconds.
	started    int64
	name       string
	address    string
	dataCentre string
	store      port.KeyedLog
	dial       port.PeerDialer
	fleet      *placement.Fleet
	config     *configFollower
	crashes    *crashGuard
	retries    *retryLimits
	relay      *registryRelay
	trials     *trials
	origins    *streamOrigins
	reach      *runnerReach
	receivers  *receivers
	// usage is nil if usage is not reported.
	usage *usageCounts
	// listIsCurrent reports whether the list of runners is known to be current.
	listIsCurrent func() bool
	// refreshList reads the list of runners anew; see discovery.refresh.
	refreshList func(ctx context.Context) bool
	// readOrigins reads the stored origins of streams; see readRequests.await.
	readOrigins func(ctx context.Context) error
	storeEra    *storeEra
	// traffic counts the calls to the peers; nil if nobody counts them. reported is what was logged of it, at reportedAt.
	traffic    *peer.Traffic
	reported   peer.TrafficStatus
	reportedAt time.Time
	// runRecovered runs a function whose panic must not end the process.
	runRecovered func(task string, f func()) bool
	// onDaemonsChanged is called with all daemons when the set of daemons changes.
	onDaemonsChanged func(daemons []placement.Daemon)
	// onRegistryRead is called each time after the registry of daemons was read.
	onRegistryRead func()

	// mu guards the fields below and the changing fields of each peerLink.
	mu sync.Mutex
	// links holds the links to the peers by daemon name.
	links map[string]*peerLink
	// departed holds the last process of each peer that left within departedMemory, by name.
	departed map[string]peerProcess
	// lastFullReport is when all loads were last reported.
	lastFullReport time.Time
	// configFetches holds when the fetches of the configuration that are running have begun, by address.
	configFetches map[string]time.Time
}

// run reports load changes to peers until ctx is done.
func (p *peers) run(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.sendChanges(ctx, now)
			p.reportTraffic(now)
		}
	}
}

// probesPerDataCentre is the number of daemons of each remote data centre that are monitored.
const probesPerDataCentre = 2

// assignCellPeersAndProbes sets cellPeer, probe and relaysParts of all links and returns all
// daemons, this one included. p.mu must be held.
func (p *peers) assignCellPeersAndProbes() []placement.Daemon {
	self := placement.Daemon{Name: p.name, DataCentre: p.dataCentre}
	daemons := []placement.Daemon{self}
	byDataCentre := map[string][]string{}
	for _, l := range p.links {
		daemons = append(daemons, placement.Daemon{Name: l.name, DataCentre: l.dataCentre})
		byDataCentre[l.dataCentre] = append(byDataCentre[l.dataCentre], l.name)
		l.cellPeer, l.probe, l.relaysParts = false, false, false
	}
	for _, name := range placement.CellPeers(self, daemons) {
		p.links[name].cellPeer = true
	}
	for dc, names := range byDataCentre {
		if dc == p.dataCentre {
			continue
		}
		for i, name := range rendezvous.Top(p.name, names, probesPerDataCentre) {
			p.links[name].probe = true
			p.links[name].relaysParts = i == 0
		}
	}
	return daemons
}

// sendChanges queues load changes for all peers and sends to those without a call in flight.
func (p *peers) sendChanges(ctx context.Context, now time.Time) {
	full := p.queueChanges(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	if full {
		p.checkReachability(now)
		p.fleet.SetLimitShare(p.heardShare(now))
	}
	unreached := p.reach.unreachedServices()
	for _, l := range p.links {
		watched := full && (l.cellPeer || l.probe)
		// A peer of each other data centre is told, too, so that the counts outlive the loss of this one.
		l.usageDue = l.usageDue || full && (l.cellPeer || l.relaysParts) && p.usage != nil
		news := l.dataCentre == p.dataCentre && !slices.Equal(l.told, unreached)
		// A peer that does not respond is called until it does, also if there is nothing to tell it.
		due := !now.Before(l.nextSend) && (watched || news || !l.responds() || l.previous != nil || len(l.pendingLoads) > 0 || len(l.pendingCrashes) > 0 || len(l.pendingOrigins) > 0)
		if due && !l.callInFlight {
			p.send(ctx, l)
		}
	}
}

// queueChanges queues load changes and crash reports for all peers. It reports whether all loads were
// due, also those without a change.
func (p *peers) queueChanges(now time.Time) (full bool) {
	p.mu.Lock()
	full = now.Sub(p.lastFullReport) >= heartbeatInterval
	if full {
		p.lastFullReport = now
	}
	p.mu.Unlock()
	loads := p.fleet.LoadUpdates(now, full)
	changes := encodeLoads(loads)
	newParts := encodeLoads(newPartsOnly(loads))
	crashes := p.crashes.takeReports()
	origins := p.origins.takeUnshared(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		switch {
		case l.cellPeer:
			l.queueLoads(changes)
		case l.dataCentre == p.dataCentre:
			l.queueLoads(partsOnly(changes))
		case l.relaysParts:
			// The peer forwards the parts within its data centre.
			l.queueLoads(newParts)
		}
		l.queueCrashReports(now, crashes)
	}
	p.queueOrigins(now, origins)
	return full
}

// send sends queued news to a peer. p.mu must be held.
func (p *peers) send(ctx context.Context, l *peerLink) {
	now := time.Now()
	m := loadMessage{From: p.name, Started: p.started, DataCentre: p.dataCentre, Address: p.address, Config: p.config.version(), Unreached: p.reach.unreachedServices()}
	m.UsedSlack = p.retries.usedSlack(now)
	n := l.takeNews(now)
	n.addTo(&m)
	if l.usageDue && l.responds() {
		m.Usage, l.usageDue = l.toldUsage.News(p.usage.recent()), false
	}
	l.callInFlight = true
	if !l.cellPeer {
		l.nextSend = now.Add(partsInterval)
	}
	// The peer's process, and with it toldUsage, may be another one when the call ends.
	toldUsage := l.toldUsage
	ctx, l.cancelCall = context.WithTimeout(ctx, l.callLimit().Current())
	cancel := l.cancelCall
	go p.runRecovered(methodLoad, func() {
		defer cancel()
		err := l.client.Call(ctx, methodLoad, m, nil)
		p.recordCallResult(l, err, time.Since(now))
		p.mu.Lock()
		defer p.mu.Unlock()
		l.callInFlight = false
		if err != nil {
			l.requeue(&n, time.Now())
			return
		}
		l.told = m.Unreached
		toldUsage.Add(m.Usage)
	})
}

// handlers returns the methods that peers may call.
func (p *peers) handlers() map[string]port.PeerHandler {
	return map[string]port.PeerHandler{methodLoad: p.handleLoad, methodConfig: p.handleConfig, methodRegistry: p.relay.handle, methodTrial: p.trials.handle, methodOrigin: p.handleOrigin, methodReach: p.receivers.handle, methodUsage: p.handleUsage}
}

func (p *peers) handleLoad(ctx context.Context, params json.RawMessage) (any, error) {
	var m loadMessage
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, err
	}
	p.usage.merge(m.Usage)
	if m.Leaving {
		p.removePeer(m.From, m.UsedSlack)
		return nil, nil
	}
	p.addPeers(map[string]daemonEntry{m.From: {Address: m.Address, DataCentre: m.DataCentre}}, true)
	p.mu.Lock()
	if l, ok := p.links[m.From]; ok {
		p.noteSender(l, &m, time.Now())
	}
	p.mu.Unlock()
	if m.Previous != nil {
		p.retries.share.PreviousUsed(m.Previous.Used, time.Duration(m.Previous.AgeMS)*time.Millisecond)
	}
	p.applyLoads(time.Now(), &m)
	p.crashes.applyReports(time.Now(), m.Crashes)
	p.doubtProcesses(time.Now(), m.Crashes)
	p.origins.apply(time.Now(), m.Origins)
	p.learnOfConfig(m.From, m.Address, m.Config)
	return nil, nil
}

// applyLoads applies the loads that a peer reports. What it reports from another data centre is
// forwarded within this one.
func (p *peers) applyLoads(now time.Time, m *loadMessage) {
	news := p.fleet.ApplyPeerLoads(now, m.From, decodeLoads(m.Runners))
	if m.DataCentre != p.dataCentre {
		p.forwardParts(news)
	}
}

// removePeer removes a daemon that announced that it stops, and remembers the part of the constant
// retry limit that it has used.
func (p *peers) removePeer(name string, usedSlack float64) {
	now := time.Now()
	p.mu.Lock()
	maps.DeleteFunc(p.departed, func(_ string, d peerProcess) bool { return now.Sub(d.usedSlackAt) > departedMemory })
	if l, ok := p.links[name]; ok {
		p.departed[name] = peerProcess{started: l.started, usedSlack: usedSlack, usedSlackAt: now}
	}
	delete(p.links, name)
	daemons := p.assignCellPeersAndProbes()
	p.mu.Unlock()
	p.fleet.DropPeerLoads(name)
	p.log.Info("daemon left", zap.String("peer", name), zap.Int("daemons", len(daemons)))
	p.onDaemonsChanged(daemons)
}

// announceLeaving informs the peers that this daemon stops, and removes its entry from the
// registry.
func (p *peers) announceLeaving(ctx context.Context) {
	p.mu.Lock()
	links := make([]*peerLink, 0, len(p.links))
	for _, l := range p.links {
		links = append(links, l)
	}
	p.mu.Unlock()
	last := loadMessage{From: p.name, Leaving: true, UsedSlack: p.retries.usedSlack(time.Now()), Usage: p.usage.all()}
	var group sync.WaitGroup
	for _, l := range links {
		group.Go(func() {
			// A peer that misses the message detects that this daemon is unresponsive.
			_ = l.client.Call(ctx, methodLoad, last, nil)
		})
	}
	if err := p.store.Put(ctx, port.TopicDaemons, []port.KeyedRecord{{Key: p.name}}); err != nil {
		p.log.Warn("removing the entry of this daemon from the registry failed", zap.Error(err))
	}
	group.Wait()
}
