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
	// shareInterval is how long changes of load are gathered before they are told.
	shareInterval = 30 * time.Millisecond
	// partsInterval is how long parts of prompts are gathered for daemons that share no
	// loads. A message costs more than the parts in it, and there are many such daemons.
	partsInterval = 150 * time.Millisecond
	// heartbeatInterval is how often a daemon tells all its loads without a change. It
	// is well below the age at which peers stop believing them.
	heartbeatInterval = 300 * time.Millisecond
	// silence is the age of the last sign of life of all daemons of a data centre after
	// which the way to it is doubted: two heartbeats and a slow answer.
	silence = 800 * time.Millisecond
	// peerTimeout bounds a call to a peer.
	peerTimeout = 700 * time.Millisecond
	// peerPauseMost bounds the pause between calls to a peer that does not answer.
	peerPauseMost = time.Second
	// membersInterval is how often the registry of daemons is read; a new daemon tells
	// the others by its first message, so that this is for lost messages only.
	membersInterval = 30 * time.Second
)

// announcement is the record of a daemon in the registry.
type announcement struct {
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
	// pending is what the peer has not been told, the newest load of each runner.
	pending map[string]runnerShare
	crashes []crashMessage
	busy    bool
	pause   time.Duration
	// next is when the peer may be told again.
	next time.Time
	// answered is when the peer last answered or called.
	answered time.Time
	// partner is set for daemons that share the loads of the same engines, probe for the
	// few of other data centres by which the way there is watched.
	partner bool
	probe   bool
	// relay is set for the one probe of a data centre that is told its new parts.
	relay bool
}

// peers tells other daemons what this one has in flight and hears what they have.
type peers struct {
	log     *zap.Logger
	self    string
	address string
	dc      string
	store   port.KeyedLog
	dial    port.PeerDialer
	fleet   *placement.Fleet
	config  *configFollower
	crashes *crashGuard
	relay   *registryRelay
	// attempt runs a function whose panic must not end the process.
	attempt func(task string, f func()) bool
	// resized is called with all daemons when their number changes.
	resized func(daemons []placement.Daemon)

	mu    sync.Mutex
	links map[string]*peerLink
	// lastFull is when all loads were told last.
	lastFull time.Time
	fetching bool
}

// run shares loads until ctx ends.
func (p *peers) run(ctx context.Context) {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.share(ctx, now)
		}
	}
}

// runMembers announces this daemon once and reads the registry of daemons.
func (p *peers) runMembers(ctx context.Context) {
	backoff := newStoreBackoff(p.log, "daemons")
	announced := false
	for ctx.Err() == nil {
		if !announced {
			// A string pair can always be encoded.
			value, _ := json.Marshal(announcement{Address: p.address, DataCentre: p.dc})
			err := p.store.Put(ctx, port.TopicDaemons, []port.KeyedRecord{{Key: p.self, Value: value}})
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
		p.found(records)
		clock.Sleep(ctx, membersInterval)
	}
}

// found takes in the registry of daemons.
func (p *peers) found(records []port.KeyedRecord) {
	all := map[string]announcement{}
	for _, r := range records {
		var a announcement
		if r.Key == p.self || r.Value == nil {
			continue
		}
		if err := json.Unmarshal(r.Value, &a); err != nil {
			p.log.Warn("entry of a daemon is not usable", zap.String("peer", r.Key), zap.Error(err))
			continue
		}
		all[r.Key] = a
	}
	p.meet(all, false)
}

// meet adds peers or notes their new addresses. Those that start together are met together:
// each change makes all daemons be arranged anew.
func (p *peers) meet(all map[string]announcement, heard bool) {
	var met []zap.Field
	var daemons []placement.Daemon
	p.mu.Lock()
	for name, a := range all {
		if p.enter(name, a) {
			met = append(met, zap.String("peer", name), zap.String("peer-address", a.Address))
		}
		if l := p.links[name]; heard {
			l.answered = time.Now()
			l.pause = 0
		}
	}
	if len(met) > 0 {
		p.lastFull = time.Time{}
		daemons = p.arrange()
	}
	p.mu.Unlock()
	if len(met) == 0 {
		return
	}
	// One line names one daemon; of many only the number is of use.
	p.log.Info("daemon found", append(met[:2], zap.Int("found", len(met)/2), zap.Int("daemons", len(daemons)))...)
	p.resized(daemons)
}

// enter adds a peer or replaces the link of one that has moved. It returns false for one
// that is known; the lock is held.
func (p *peers) enter(name string, a announcement) bool {
	if l, ok := p.links[name]; ok && l.address == a.Address {
		return false
	}
	p.links[name] = &peerLink{
		name: name, address: a.Address, dataCentre: a.DataCentre, client: p.dial(a.Address),
		pending: map[string]runnerShare{}, answered: time.Now(),
	}
	return true
}

// probesPerCentre is the number of daemons of each other data centre that are watched.
const probesPerCentre = 2

// arrange chooses the partners and the probes anew and returns all daemons; the lock is
// held.
func (p *peers) arrange() []placement.Daemon {
	self := placement.Daemon{Name: p.self, DataCentre: p.dc}
	daemons := []placement.Daemon{self}
	byCentre := map[string][]string{}
	for _, l := range p.links {
		daemons = append(daemons, placement.Daemon{Name: l.name, DataCentre: l.dataCentre})
		byCentre[l.dataCentre] = append(byCentre[l.dataCentre], l.name)
		l.partner, l.probe, l.relay = false, false, false
	}
	for _, name := range placement.CellPeers(self, daemons) {
		p.links[name].partner = true
	}
	for dc, names := range byCentre {
		if dc == p.dc {
			continue
		}
		for i, name := range rendezvous.Top(p.self, names, probesPerCentre) {
			p.links[name].probe = true
			p.links[name].relay = i == 0
		}
	}
	return daemons
}

// share queues changes for all peers and sends to those that are not busy.
func (p *peers) share(ctx context.Context, now time.Time) {
	p.mu.Lock()
	full := now.Sub(p.lastFull) >= heartbeatInterval
	if full {
		p.lastFull = now
	}
	p.mu.Unlock()
	loads := p.fleet.LoadUpdates(now, full)
	changes := encodeLoads(loads)
	first := encodeLoads(firstPartsOf(loads))
	crashes := p.crashes.unreported()
	p.mu.Lock()
	defer p.mu.Unlock()
	if full {
		p.checkSilence(now)
	}
	for _, l := range p.links {
		switch {
		case l.partner:
			l.queueLoads(changes)
		case l.dataCentre == p.dc:
			l.queueLoads(partsOf(changes))
		case l.relay:
			// It passes them on to its data centre.
			l.queueLoads(first)
		}
		l.queueCrashes(crashes)
		watched := full && (l.partner || l.probe)
		due := !now.Before(l.next) && (watched || len(l.pending) > 0 || len(l.crashes) > 0)
		if due && !l.busy {
			p.send(ctx, l)
		}
	}
}

// checkSilence finds the data centres of which no daemon answers; the lock is held.
func (p *peers) checkSilence(now time.Time) {
	alive := map[string]bool{}
	for _, l := range p.links {
		if l.dataCentre == p.dc || !l.partner && !l.probe {
			continue
		}
		alive[l.dataCentre] = alive[l.dataCentre] || now.Sub(l.answered) < silence
	}
	for dc, ok := range alive {
		p.fleet.SetUnresponsive(dc, !ok)
	}
}

// send tells a peer what is pending; the lock is held.
func (p *peers) send(ctx context.Context, l *peerLink) {
	m := loadMessage{From: p.self, DC: p.dc, Address: p.address, Config: p.config.version(), Crashes: l.crashes}
	for _, share := range l.pending {
		m.Runners = append(m.Runners, share)
	}
	l.pending = map[string]runnerShare{}
	l.crashes = nil
	l.busy = true
	if !l.partner {
		l.next = time.Now().Add(partsInterval)
	}
	go p.attempt(methodLoad, func() {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		err := l.client.Call(ctx, methodLoad, m, nil)
		p.sent(l, m.Crashes, err)
	})
}

// sent notes the result of a message. Loads are told anew after a failure, because the
// next full message follows soon; crash reports are kept.
func (p *peers) sent(l *peerLink, crashes []crashMessage, err error) {
	p.noteAnswer(l, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	l.busy = false
	if err != nil {
		l.crashes = append(crashes, l.crashes...)
	}
}

// noteAnswer notes whether a daemon answered a call.
func (p *peers) noteAnswer(l *peerLink, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		if l.pause > 0 {
			p.log.Info("daemon answers again", zap.String("peer", l.name))
		}
		l.pause = 0
		l.answered = time.Now()
		return
	}
	if l.pause == 0 {
		p.log.Warn("daemon does not answer", zap.String("peer", l.name), zap.String("peer-address", l.address), zap.Error(err))
	}
	l.pause = min(peerPauseMost, max(shareInterval, 2*l.pause))
	l.next = time.Now().Add(l.pause)
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
		p.left(m.From)
		return nil, nil
	}
	p.meet(map[string]announcement{m.From: {Address: m.Address, DataCentre: m.DC}}, true)
	news := p.fleet.ApplyPeerLoads(time.Now(), m.From, decodeLoads(m.Runners))
	if m.DC != p.dc {
		p.passParts(news)
	}
	p.crashes.heard(time.Now(), m.Crashes)
	if m.Config > p.config.version() {
		p.fetchConfig(m.Address)
	}
	return nil, nil
}

func (p *peers) left(name string) {
	p.mu.Lock()
	delete(p.links, name)
	daemons := p.arrange()
	p.mu.Unlock()
	p.log.Info("daemon left", zap.String("peer", name), zap.Int("daemons", len(daemons)))
	p.resized(daemons)
}

// fetchConfig takes a newer configuration from a peer, one at a time.
func (p *peers) fetchConfig(address string) {
	p.mu.Lock()
	busy := p.fetching
	p.fetching = true
	p.mu.Unlock()
	if busy {
		return
	}
	go p.attempt(methodConfig, func() {
		defer func() {
			p.mu.Lock()
			p.fetching = false
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
	return p.config.newest(), nil
}

// leave tells the peers that this daemon stops, and takes its record out.
func (p *peers) leave(ctx context.Context) {
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
			_ = l.client.Call(ctx, methodLoad, loadMessage{From: p.self, Leaving: true}, nil)
		})
	}
	if err := p.store.Put(ctx, port.TopicDaemons, []port.KeyedRecord{{Key: p.self}}); err != nil {
		p.log.Warn("own entry was not removed from the registry", zap.Error(err))
	}
	group.Wait()
}
