package gateway

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/adapter/clock"
	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/rendezvous"
)

// Methods of the peer interface.
const (
	methodLoad   = "gateway.load"
	methodConfig = "gateway.config"
)

const (
	// loadInterval is how long changes of load are gathered before they are told.
	loadInterval = 30 * time.Millisecond
	// partsInterval is how long parts of prompts are gathered for daemons that share no
	// loads. A message costs more than the parts in it, and there are many such daemons.
	partsInterval = 150 * time.Millisecond
	// heartbeatInterval is how often a daemon tells all its loads without a change. It
	// is well below the age at which peers stop believing them.
	heartbeatInterval = 300 * time.Millisecond
	// unresponsiveAfter is the age of the last sign of life of all daemons of a data centre after
	// which the way to it is doubted: two heartbeats and a slow answer.
	unresponsiveAfter = 800 * time.Millisecond
	// peerTimeout bounds a call to a peer.
	peerTimeout = 700 * time.Millisecond
	// maxPeerBackoff bounds the pause between calls to a peer that does not answer.
	maxPeerBackoff = time.Second
	// membershipInterval is how often the registry of daemons is read; a new daemon tells
	// the others by its first message, so that this is for lost messages only.
	membershipInterval = 30 * time.Second
)

// daemonEntry is the record of a daemon in the registry.
type daemonEntry struct {
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// peerLink is what a daemon knows of one other.
type peerLink struct {
	name    string
	address string
	// dataCentre is empty until the registry or a message names it.
	dataCentre string
	client     port.Peer
	// pendingLoads is what the peer has not been told, the newest load of each runner.
	pendingLoads   map[string]runnerLoad
	pendingCrashes []crashReport
	callInFlight   bool
	backoff        time.Duration
	// nextSend is when the peer may be told again.
	nextSend time.Time
	// lastContact is when the peer last lastContact or called.
	lastContact time.Time
	// partner is set for daemons that share the loads of the same engines, probe for the
	// few of other data centres by which the way there is watched.
	partner bool
	probe   bool
	// relaysParts is set for the one probe of a data centre that is told its new parts.
	relaysParts bool
}

// peers tells other daemons what this one has in flight and hears what they have.
type peers struct {
	log        *zap.Logger
	name       string
	address    string
	dataCentre string
	store      port.KeyedLog
	dial       port.PeerDialer
	fleet      *placement.Fleet
	config     *configFollower
	crashes    *crashGuard
	relay      *registryRelay
	// runRecovered runs a function whose panic must not end the process.
	runRecovered func(task string, f func()) bool
	// onDaemonsChanged is called with all daemons when their number changes.
	onDaemonsChanged func(daemons []placement.Daemon)

	mu    sync.Mutex
	links map[string]*peerLink
	// lastFullReport is when all loads were told last.
	lastFullReport time.Time
	fetchingConfig bool
}

// run shares loads until ctx ends.
func (p *peers) run(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.sendChanges(ctx, now)
		}
	}
}

// runMembership announces this daemon once and reads the registry of daemons.
func (p *peers) runMembership(ctx context.Context) {
	backoff := newStoreBackoff(p.log, "daemons")
	announced := false
	for ctx.Err() == nil {
		if !announced {
			// A string pair can always be encoded.
			value, _ := json.Marshal(daemonEntry{Address: p.address, DataCentre: p.dataCentre})
			err := p.store.Put(ctx, port.TopicDaemons, []port.KeyedRecord{{Key: p.name, Value: value}})
			if err != nil {
				backoff.failed(ctx, err)
				continue
			}
			announced = true
		}
		records, _, err := p.store.Newest(ctx, port.TopicDaemons)
		if err != nil {
			backoff.failed(ctx, err)
			continue
		}
		backoff.succeeded()
		p.applyMembers(records)
		clock.Sleep(ctx, membershipInterval)
	}
}

// applyMembers takes in the registry of daemons.
func (p *peers) applyMembers(records []port.KeyedRecord) {
	entries := map[string]daemonEntry{}
	for _, r := range records {
		var entry daemonEntry
		if r.Key == p.name || r.Value == nil {
			continue
		}
		if err := json.Unmarshal(r.Value, &entry); err != nil {
			p.log.Warn("entry of a daemon is not usable", zap.String("peer", r.Key), zap.Error(err))
			continue
		}
		entries[r.Key] = entry
	}
	p.addPeers(entries, false)
}

// addPeers adds peers or notes their new addresses. Those that start together are met together:
// each change makes all daemons be arranged anew.
func (p *peers) addPeers(entries map[string]daemonEntry, contacted bool) {
	var added []zap.Field
	var daemons []placement.Daemon
	p.mu.Lock()
	for name, entry := range entries {
		if p.addPeer(name, entry) {
			added = append(added, zap.String("peer", name), zap.String("peer-address", entry.Address))
		}
		if l := p.links[name]; contacted {
			l.lastContact = time.Now()
			l.backoff = 0
		}
	}
	if len(added) > 0 {
		p.lastFullReport = time.Time{}
		daemons = p.assignPartners()
	}
	p.mu.Unlock()
	if len(added) == 0 {
		return
	}
	// One line names one daemon; of many only the number is of use.
	p.log.Info("daemon found", append(added[:2], zap.Int("found", len(added)/2), zap.Int("daemons", len(daemons)))...)
	p.onDaemonsChanged(daemons)
}

// addPeer adds a peer or replaces the link of one that has moved. It returns false for one
// that is known; the lock is held.
func (p *peers) addPeer(name string, entry daemonEntry) bool {
	if l, ok := p.links[name]; ok && l.address == entry.Address {
		return false
	}
	p.links[name] = &peerLink{
		name: name, address: entry.Address, dataCentre: entry.DataCentre, client: p.dial(entry.Address),
		pendingLoads: map[string]runnerLoad{}, lastContact: time.Now(),
	}
	return true
}

// probesPerDataCentre is the number of daemons of each other data centre that are watched.
const probesPerDataCentre = 2

// assignPartners chooses the partners and the probes anew and returns all daemons; the lock is
// held.
func (p *peers) assignPartners() []placement.Daemon {
	self := placement.Daemon{Name: p.name, DataCentre: p.dataCentre}
	daemons := []placement.Daemon{self}
	byDataCentre := map[string][]string{}
	for _, l := range p.links {
		daemons = append(daemons, placement.Daemon{Name: l.name, DataCentre: l.dataCentre})
		byDataCentre[l.dataCentre] = append(byDataCentre[l.dataCentre], l.name)
		l.partner, l.probe, l.relaysParts = false, false, false
	}
	for _, name := range placement.Partners(self, daemons) {
		p.links[name].partner = true
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

// sendChanges queues changes for all peers and sends to those that are not busy.
func (p *peers) sendChanges(ctx context.Context, now time.Time) {
	p.mu.Lock()
	full := now.Sub(p.lastFullReport) >= heartbeatInterval
	if full {
		p.lastFullReport = now
	}
	p.mu.Unlock()
	loads := p.fleet.Changes(now, full)
	changes := encodeLoads(loads)
	newParts := encodeLoads(newPartsOnly(loads))
	crashes := p.crashes.takeReports()
	p.mu.Lock()
	defer p.mu.Unlock()
	if full {
		p.checkReachability(now)
	}
	for _, l := range p.links {
		switch {
		case l.partner:
			l.queueLoads(changes)
		case l.dataCentre == p.dataCentre:
			l.queueLoads(partsOnly(changes))
		case l.relaysParts:
			// It passes them on to its data centre.
			l.queueLoads(newParts)
		}
		l.queueCrashReports(crashes)
		watched := full && (l.partner || l.probe)
		due := !now.Before(l.nextSend) && (watched || len(l.pendingLoads) > 0 || len(l.pendingCrashes) > 0)
		if due && !l.callInFlight {
			p.send(ctx, l)
		}
	}
}

// checkReachability finds the data centres of which no daemon answers; the lock is held.
func (p *peers) checkReachability(now time.Time) {
	reachable := map[string]bool{}
	for _, l := range p.links {
		if l.dataCentre == p.dataCentre || !l.partner && !l.probe {
			continue
		}
		reachable[l.dataCentre] = reachable[l.dataCentre] || now.Sub(l.lastContact) < unresponsiveAfter
	}
	for dc, ok := range reachable {
		p.fleet.SetSilent(dc, !ok)
	}
}

// send tells a peer what is pending; the lock is held.
func (p *peers) send(ctx context.Context, l *peerLink) {
	m := loadMessage{From: p.name, DC: p.dataCentre, Address: p.address, Config: p.config.version(), Crashes: l.pendingCrashes}
	for _, share := range l.pendingLoads {
		m.Runners = append(m.Runners, share)
	}
	l.pendingLoads = map[string]runnerLoad{}
	l.pendingCrashes = nil
	l.callInFlight = true
	if !l.partner {
		l.nextSend = time.Now().Add(partsInterval)
	}
	go p.runRecovered(methodLoad, func() {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		err := l.client.Call(ctx, methodLoad, m, nil)
		p.sendFinished(l, m.Crashes, err)
	})
}

// sendFinished notes the result of a message. Loads are told anew after a failure, because the
// next full message follows soon; crash reports are kept.
func (p *peers) sendFinished(l *peerLink, crashes []crashReport, err error) {
	p.recordCallResult(l, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	l.callInFlight = false
	if err != nil {
		l.pendingCrashes = append(crashes, l.pendingCrashes...)
	}
}

// recordCallResult notes whether a daemon answered a call.
func (p *peers) recordCallResult(l *peerLink, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		if l.backoff > 0 {
			p.log.Info("daemon answers again", zap.String("peer", l.name))
		}
		l.backoff = 0
		l.lastContact = time.Now()
		return
	}
	if l.backoff == 0 {
		p.log.Warn("daemon does not answer", zap.String("peer", l.name), zap.String("peer-address", l.address), zap.Error(err))
	}
	l.backoff = min(maxPeerBackoff, max(loadInterval, 2*l.backoff))
	l.nextSend = time.Now().Add(l.backoff)
}

// handlers returns the methods that peers call.
func (p *peers) handlers() map[string]port.PeerHandler {
	return map[string]port.PeerHandler{methodLoad: p.handleLoad, methodConfig: p.handleConfig, methodRegistry: p.relay.handle}
}

func (p *peers) handleLoad(ctx context.Context, params json.RawMessage) (any, error) {
	var m loadMessage
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, err
	}
	if m.Leaving {
		p.removePeer(m.From)
		return nil, nil
	}
	p.addPeers(map[string]daemonEntry{m.From: {Address: m.Address, DataCentre: m.DC}}, true)
	newParts := p.fleet.Heard(time.Now(), m.From, decodeLoads(m.Runners))
	if m.DC != p.dataCentre {
		p.forwardParts(newParts)
	}
	p.crashes.applyReports(time.Now(), m.Crashes)
	if m.Config > p.config.version() {
		p.fetchConfig(m.Address)
	}
	return nil, nil
}

func (p *peers) removePeer(name string) {
	p.mu.Lock()
	delete(p.links, name)
	daemons := p.assignPartners()
	p.mu.Unlock()
	p.log.Info("daemon left", zap.String("peer", name), zap.Int("daemons", len(daemons)))
	p.onDaemonsChanged(daemons)
}

// fetchConfig takes a newer configuration from a peer, one at a time.
func (p *peers) fetchConfig(address string) {
	p.mu.Lock()
	alreadyFetching := p.fetchingConfig
	p.fetchingConfig = true
	p.mu.Unlock()
	if alreadyFetching {
		return
	}
	go p.runRecovered(methodConfig, func() {
		defer func() {
			p.mu.Lock()
			p.fetchingConfig = false
			p.mu.Unlock()
		}()
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		defer cancel()
		var value []byte
		err := p.dial(address).Call(ctx, methodConfig, struct{}{}, &value)
		if err != nil {
			p.log.Warn("daemon did not give its configuration", zap.String("peer-address", address), zap.Error(err))
		} else if len(value) > 0 {
			p.config.install(value, "peer")
		}
	})
}

func (p *peers) handleConfig(context.Context, json.RawMessage) (any, error) {
	return p.config.publishedRecord(), nil
}

// announceLeaving tells the peers that this daemon stops, and takes its record out.
func (p *peers) announceLeaving(ctx context.Context) {
	p.mu.Lock()
	links := make([]*peerLink, 0, len(p.links))
	for _, l := range p.links {
		links = append(links, l)
	}
	p.mu.Unlock()
	var group sync.WaitGroup
	for _, l := range links {
		group.Go(func() {
			// A peer that does not hear it notices the silence.
			_ = l.client.Call(ctx, methodLoad, loadMessage{From: p.name, Leaving: true}, nil)
		})
	}
	if err := p.store.Put(ctx, port.TopicDaemons, []port.KeyedRecord{{Key: p.name}}); err != nil {
		p.log.Warn("own entry was not removed from the registry", zap.Error(err))
	}
	group.Wait()
}
