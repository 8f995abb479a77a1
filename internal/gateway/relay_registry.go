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
	// methodRegistry passes on what one daemon of a data centre read from the store.
	methodRegistry = "gateway.registry"
	// relayFreshShare is the part of the time to take a leaving runner out of use up to which a
	// relayed state counts as current: longer than the reader's pause of discoveryPart, and
	// short enough for a daemon that hears nothing to read the store itself in time.
	relayFreshShare = 0.6
	// maxRelayDaemons is the number of daemons of a data centre that may pass the registry
	// on: one does, the others take over when those before them are silent.
	maxRelayDaemons = 3
)

// registryMessage is sent after each read of the store.
type registryMessage struct {
	From    string        `json:"from"`
	Address string        `json:"address"`
	Config  int64         `json:"config"`
	Runners uint64        `json:"runners"`
	Changes []relayRecord `json:"changes,omitempty"`
}

type relayRecord struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
}

// registryRelay lets one daemon of a data centre read the store for all of them, because
// each call to the store is paid for and its rate is shared by all daemons.
type registryRelay struct {
	peers     *peers
	discovery *discovery
	config    *configFollower
	// maxAge is the age up to which a relayed state counts as current.
	maxAge time.Duration

	mu sync.Mutex
	// lastReceived is when a daemon of a lower rank last passed a state on, and matches whether
	// this daemon had the same.
	lastReceived time.Time
	stateMatches bool
	// callInFlight holds the peers that have not answered the last message.
	callInFlight map[string]bool
	// unsentChanges holds the changes that a busy peer was not told.
	unsentChanges map[string][]relayRecord
}

// fresh tells whether this daemon may rely on another one's reads.
func (r *registryRelay) fresh() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stateMatches && time.Since(r.lastReceived) < r.maxAge
}

// rank returns the place of this daemon among those of its data centre that answer.
func (r *registryRelay) rank(local []*peerLink) int {
	rank := 0
	for _, l := range local {
		if l.name < r.peers.name && l.backoff == 0 {
			rank++
		}
	}
	return rank
}

// hasLowestRank tells whether this daemon has the lowest rank in its data centre.
func (r *registryRelay) hasLowestRank() bool {
	r.peers.mu.Lock()
	defer r.peers.mu.Unlock()
	return r.rank(r.localPeers()) == 0
}

// localPeers returns the links to the daemons of this data centre; the lock of peers is held.
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

// forward tells the daemons of this data centre what was read.
func (r *registryRelay) forward(changes []port.KeyedRecord) {
	records := make([]relayRecord, 0, len(changes))
	for _, c := range changes {
		records = append(records, relayRecord{Key: c.Key, Value: c.Value})
	}
	r.peers.mu.Lock()
	local := r.localPeers()
	rank := r.rank(local)
	r.peers.mu.Unlock()
	if rank >= maxRelayDaemons {
		return
	}
	m := registryMessage{From: r.peers.name, Address: r.peers.address, Config: r.config.version(), Runners: r.discovery.digest()}
	for _, l := range local {
		r.send(l, m, records)
	}
}

// send passes a message on to one daemon unless the last one is still under way; its
// changes are then kept for the next.
func (r *registryRelay) send(l *peerLink, m registryMessage, records []relayRecord) {
	r.mu.Lock()
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
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		defer cancel()
		err := l.client.Call(ctx, methodRegistry, m, nil)
		r.peers.recordCallResult(l, err)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.callInFlight, l.name)
		if err != nil {
			// A daemon that missed changes finds that its state differs and reads itself.
			delete(r.unsentChanges, l.name)
		}
	})
}

// handle takes in what another daemon read.
func (r *registryRelay) handle(_ context.Context, params json.RawMessage) (any, error) {
	var m registryMessage
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, err
	}
	changes := make([]port.KeyedRecord, 0, len(m.Changes))
	for _, c := range m.Changes {
		changes = append(changes, port.KeyedRecord{Key: c.Key, Value: c.Value})
	}
	if len(changes) > 0 && r.discovery.loaded.Load() {
		r.discovery.applyRecords(time.Now(), changes, false, false)
	}
	if m.Config > r.config.version() {
		r.peers.fetchConfig(m.Address)
	}
	matches := r.discovery.digest() == m.Runners && r.config.version() >= m.Config
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.From < r.peers.name {
		r.lastReceived, r.stateMatches = time.Now(), matches
	}
	return nil, nil
}
