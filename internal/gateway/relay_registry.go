package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// methodRegistry forwards what one daemon of a data centre read from the store.
	methodRegistry = "gateway.registry"
	// relayFreshShare gives the age up to which a relayed state is considered current, as a
	// share of the time within which a leaving runner must be out of use. This age is longer than
	// the interval between reads that discoveryDivisor gives, and short enough for a daemon that
	// receives nothing to read the store itself in time.
	relayFreshShare = 0.6
	// maxRelayDaemons is the number of daemons of a data centre that may forward the registry:
	// one does, and the next ones take over when those before them are unresponsive.
	maxRelayDaemons = 3
)

// registryMessage is sent after each read of the registry and after each change of the configuration. Config is the version of the sender's
// configuration, Runners the digest of its list of runners, and Changes holds the records that
// have changed since the last message to the receiver. Era is the newest known era of the store.
type registryMessage struct {
	From    string        `json:"from"`
	Address string        `json:"address"`
	Config  int64         `json:"config"`
	Runners uint64        `json:"runners"`
	Era     int64         `json:"era,omitempty"`
	Changes []relayRecord `json:"changes,omitempty"`
	// ConfigOnly is set if the sender has not just read the registry of runners: the message does not
	// show that Runners is current.
	ConfigOnly bool `json:"config_only,omitempty"`
}

// relayRecord is the wire form of a port.KeyedRecord; an empty Value removes the key. LastStart and
// LastSequence then identify the last entry before the removal. Only the daemon that reads knows it,
// because heartbeats are not forwarded.
type relayRecord struct {
	Key          string `json:"key"`
	Value        []byte `json:"value,omitempty"`
	LastStart    int64  `json:"last_start,omitempty"`
	LastSequence int64  `json:"last_sequence,omitempty"`
}

// registryRelay lets one daemon of a data centre read the store and forward its state to the
// other daemons there, because each call to the store is billed and all daemons share its rate
// limit.
type registryRelay struct {
	peers     *peers
	discovery *discovery
	config    *configFollower
	// maxAge is the age up to which a relayed state is considered current.
	maxAge time.Duration

	mu sync.Mutex
	// lastReceived is when a daemon whose name sorts before this one's last forwarded its state,
	// and stateMatches whether this daemon's state was equal to it. Guarded by mu, as are the
	// maps below.
	lastReceived time.Time
	stateMatches bool
	// callInFlight holds the peers that have not responded to the last message.
	callInFlight map[string]bool
	// unsentChanges holds, by peer, the changes that could not be sent because a call was in
	// flight.
	unsentChanges map[string][]relayRecord
}

// fresh reports whether this daemon may rely on the reads of another daemon: it received a state
// that is equal to its own less than maxAge ago.
func (r *registryRelay) fresh() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stateMatches && time.Since(r.lastReceived) < r.maxAge
}

// position returns the position of this daemon, by name and from 0, among the running daemons
// of its data centre. A daemon that reaches no other one is not the first for that. local holds the links to the others.
// peers.mu must be held.
func (r *registryRelay) position(local []*peerLink) int {
	position, now := 0, time.Now()
	for _, l := range local {
		if l.name < r.peers.name && l.runs(now) {
			position++
		}
	}
	return position
}

// isFirstReaching reports whether this daemon is the first one by name among the responsive daemons of
// its data centre that reach all services. One that does not reach the engines cannot give them orders.
func (r *registryRelay) isFirstReaching() bool {
	r.peers.mu.Lock()
	defer r.peers.mu.Unlock()
	reaching := slices.DeleteFunc(r.localPeers(), func(l *peerLink) bool { return len(l.unreached) > 0 })
	return len(r.peers.reach.unreachedServices()) == 0 && r.position(reaching) == 0
}

// localPeers returns the links to the daemons of this data centre, sorted by name. peers.mu
// must be held.
func (r *registryRelay) localPeers() []*peerLink {
	var out []*peerLink
	for _, l := range r.peers.links {
		if l.dataCentre == r.peers.dataCentre {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b *peerLink) int { return cmp.Compare(a.name, b.name) })
	return out
}

// forwardConfig tells the daemons of this data centre of a new version of the configuration.
func (r *registryRelay) forwardConfig() { r.sendToLocalPeers(registryMessage{ConfigOnly: true}, nil) }

// forward sends the changes that were read, and a digest of the whole state, to the daemons of
// this data centre. It does nothing if maxRelayDaemons responsive daemons precede this one.
func (r *registryRelay) forward(changes []port.KeyedRecord) {
	records := make([]relayRecord, 0, len(changes))
	for _, c := range changes {
		record := relayRecord{Key: c.Key, Value: c.Value}
		if c.Value == nil {
			last := r.discovery.tombstone(c.Key)
			record.LastStart, record.LastSequence = last.StartedMS, last.Sequence
		}
		records = append(records, record)
	}
	r.sendToLocalPeers(registryMessage{}, records)
}

// sendToLocalPeers completes a message and sends it, with changes, unless maxRelayDaemons responsive
// daemons precede this one.
func (r *registryRelay) sendToLocalPeers(m registryMessage, records []relayRecord) {
	r.peers.mu.Lock()
	local := r.localPeers()
	position := r.position(local)
	r.peers.mu.Unlock()
	if position >= maxRelayDaemons {
		return
	}
	m.From, m.Address, m.Config = r.peers.name, r.peers.address, r.config.version()
	m.Runners, m.Era = r.discovery.digest(), r.peers.storeEra.current()
	for _, l := range local {
		r.send(l, m, records)
	}
}

// send sends a message to one daemon. If a call to it is still in flight, the changes are kept
// for the next message.
func (r *registryRelay) send(l *peerLink, m registryMessage, records []relayRecord) {
	limit, ok := r.peers.mayCall(l)
	r.mu.Lock()
	if !ok {
		// A daemon that missed changes detects that its state differs and reads the store itself.
		delete(r.unsentChanges, l.name)
		r.mu.Unlock()
		return
	}
	m.Changes = append(slices.Clone(r.unsentChanges[l.name]), records...)
	delete(r.unsentChanges, l.name)
	if r.callInFlight[l.name] {
		r.unsentChanges[l.name] = m.Changes
		r.mu.Unlock()
		return
	}
	r.callInFlight[l.name] = true
	r.mu.Unlock()
	go r.peers.runRecovered(methodRegistry, func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		began := time.Now()
		err := l.client.Call(ctx, methodRegistry, m, nil)
		r.peers.recordCallResult(l, err, time.Since(began))
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.callInFlight, l.name)
		if err != nil {
			delete(r.unsentChanges, l.name)
		}
	})
}

// handle applies the state that another daemon read from the store.
func (r *registryRelay) handle(_ context.Context, params json.RawMessage) (any, error) {
	var m registryMessage
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, err
	}
	r.peers.heard(m.From)
	r.peers.storeEra.observe(m.Era)
	changes := make([]port.KeyedRecord, 0, len(m.Changes))
	for _, c := range m.Changes {
		changes = append(changes, port.KeyedRecord{Key: c.Key, Value: c.Value})
	}
	if len(changes) > 0 && r.discovery.loaded.Load() {
		r.discovery.applyRecords(time.Now(), changes, false, false)
		for _, c := range m.Changes {
			if len(c.Value) == 0 {
				r.discovery.raiseTombstone(port.Runner{ID: c.Key, StartedMS: c.LastStart, Sequence: c.LastSequence})
			}
		}
	}
	r.peers.learnOfConfig(m.From, m.Address, m.Config)
	sameList := r.discovery.digest() == m.Runners
	if sameList && !m.ConfigOnly {
		r.discovery.confirm(time.Now())
	}
	matches := sameList && r.config.version() >= m.Config
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.From < r.peers.name && !m.ConfigOnly {
		r.lastReceived, r.stateMatches = time.Now(), matches
	}
	return nil, nil
}
