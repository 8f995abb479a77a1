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
	// relayShare is the part of the time to take a leaving runner out of use up to which a
	// relayed state counts as current: longer than the reader's pause of discoveryPart, and
	// short enough for a daemon that hears nothing to read the store itself in time.
	relayShare = 0.6
	// relayRanks is the number of daemons of a data centre that may pass the registry
	// on: one does, the others take over when those before them are silent.
	relayRanks = 3
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
	peers  *peers
	found  *discovery
	config *configFollower
	// freshFor is the age up to which a relayed state counts as current.
	freshFor time.Duration

	mu sync.Mutex
	// heard is when a daemon of a lower rank last passed a state on, and matches whether
	// this daemon had the same.
	heard   time.Time
	matches bool
	// busy holds the peers that have not answered the last message.
	busy map[string]bool
	// missed holds the changes that a busy peer was not told.
	missed map[string][]relayRecord
}

// fresh tells whether this daemon may rely on another one's reads.
func (r *registryRelay) fresh() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.matches && time.Since(r.heard) < r.freshFor
}

// rank returns the place of this daemon among those of its data centre that answer.
func (r *registryRelay) rank(near []*peerLink) int {
	rank := 0
	for _, l := range near {
		if l.name < r.peers.self && l.pause == 0 {
			rank++
		}
	}
	return rank
}

// first tells whether this daemon has the lowest rank in its data centre.
func (r *registryRelay) first() bool {
	r.peers.mu.Lock()
	defer r.peers.mu.Unlock()
	return r.rank(r.near()) == 0
}

// near returns the links to the daemons of this data centre; the lock of peers is held.
func (r *registryRelay) near() []*peerLink {
	var out []*peerLink
	for _, l := range r.peers.links {
		if l.dataCentre == r.peers.dc {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b *peerLink) int { return cmp.Compare(a.name, b.name) })
	return out
}

// pass tells the daemons of this data centre what was read.
func (r *registryRelay) pass(changes []port.KeyedRecord) {
	records := make([]relayRecord, 0, len(changes))
	for _, c := range changes {
		records = append(records, relayRecord{Key: c.Key, Value: c.Value})
	}
	r.peers.mu.Lock()
	near := r.near()
	rank := r.rank(near)
	r.peers.mu.Unlock()
	if rank >= relayRanks {
		return
	}
	m := registryMessage{From: r.peers.self, Address: r.peers.address, Config: r.config.version(), Runners: r.found.digest()}
	for _, l := range near {
		r.send(l, m, records)
	}
}

// send passes a message on to one daemon unless the last one is still under way; its
// changes are then kept for the next.
func (r *registryRelay) send(l *peerLink, m registryMessage, records []relayRecord) {
	r.mu.Lock()
	m.Changes = append(slices.Clone(r.missed[l.name]), records...)
	delete(r.missed, l.name)
	if r.busy[l.name] {
		r.missed[l.name] = m.Changes
		r.mu.Unlock()
		return
	}
	r.busy[l.name] = true
	r.mu.Unlock()
	go r.peers.attempt(methodRegistry, func() {
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		defer cancel()
		err := l.client.Call(ctx, methodRegistry, m, nil)
		r.peers.noteAnswer(l, err)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.busy, l.name)
		if err != nil {
			// A daemon that missed changes finds that its state differs and reads itself.
			delete(r.missed, l.name)
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
	if len(changes) > 0 && r.found.known.Load() {
		r.found.take(time.Now(), changes, false, false)
	}
	if m.Config > r.config.version() {
		r.peers.fetchConfig(m.Address)
	}
	matches := r.found.digest() == m.Runners && r.config.version() >= m.Config
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.From < r.peers.self {
		r.heard, r.matches = time.Now(), matches
	}
	return nil, nil
}
