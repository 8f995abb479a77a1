package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/adapter/clock"
	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/usage"
)

// runMembership announces this daemon and reads the registry of daemons periodically, and when the
// store came back from an older copy. The daemon is announced again if its entry is missing there.
func (p *peers) runMembership(ctx context.Context) {
	backoff := newStoreBackoff(p.log, "daemons")
	// A struct of strings can always be encoded.
	entry, _ := json.Marshal(daemonEntry{Address: p.address, DataCentre: p.dataCentre})
	announced := false
	for ctx.Err() == nil {
		if !announced {
			err := p.store.Put(ctx, port.TopicDaemons, []port.KeyedRecord{{Key: p.name, Value: entry}})
			if err != nil {
				backoff.failed(ctx, err)
				continue
			}
			announced = true
		}
		records, position, err := p.store.Newest(ctx, port.TopicDaemons)
		if err != nil {
			backoff.failed(ctx, err)
			continue
		}
		backoff.succeeded()
		p.applyMembers(records)
		p.onRegistryRead()
		announced = slices.ContainsFunc(records, func(r port.KeyedRecord) bool { return r.Key == p.name && bytes.Equal(r.Value, entry) })
		if !announced {
			clock.Sleep(ctx, minStoreBackoff)
			continue
		}
		for next := time.Now().Add(membershipInterval); ctx.Err() == nil && time.Now().Before(next) && p.storeEra.current() <= position.Era; {
			clock.Sleep(ctx, eraCheckInterval)
		}
	}
}

// applyMembers adds the peers listed in the registry of daemons.
func (p *peers) applyMembers(records []port.KeyedRecord) {
	entries := map[string]daemonEntry{}
	for _, r := range records {
		var entry daemonEntry
		if r.Key == p.name || r.Value == nil {
			continue
		}
		if err := json.Unmarshal(r.Value, &entry); err != nil {
			p.log.Warn("registry entry of a daemon cannot be decoded", zap.String("peer", r.Key), zap.Error(err))
			continue
		}
		entries[r.Key] = entry
	}
	p.addPeers(entries, false)
}

// addPeers adds peers and updates changed addresses. Peers that start together are added in one
// call, because each change reassigns cell peers and engines of all daemons. With contacted set,
// the time of the last contact is set to now.
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
			l.heardAt = l.lastContact
		}
	}
	if len(added) > 0 {
		p.lastFullReport = time.Time{}
		daemons = p.assignCellPeersAndProbes()
	}
	p.mu.Unlock()
	if len(added) == 0 {
		return
	}
	// The log line names only one of the added daemons; if there are several, the count matters.
	p.log.Info("daemon found", append(added[:2], zap.Int("found", len(added)/2), zap.Int("daemons", len(daemons)))...)
	p.onDaemonsChanged(daemons)
}

// addPeer adds a peer or replaces the link of one whose address changed. It returns false if
// the peer is already known at this address. p.mu must be held.
func (p *peers) addPeer(name string, entry daemonEntry) bool {
	l, ok := p.links[name]
	if ok && l.address == entry.Address {
		return false
	}
	process := p.departed[name]
	delete(p.departed, name)
	if ok {
		process = l.peerProcess
	}
	p.links[name] = &peerLink{
		peerProcess: process, name: name, address: entry.Address, dataCentre: entry.DataCentre, client: p.dial(entry.Address),
		pendingLoads: map[string]runnerLoad{}, toldUsage: usage.Told{}, lastContact: time.Now(),
	}
	return true
}
