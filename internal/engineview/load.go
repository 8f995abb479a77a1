package engineview

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// A load entry is packed to keep probes small: a 4-byte hash of the VM's id, 1 byte
// for the age, 2 bytes each for running requests, queued requests, queued prefill
// tokens and running tokens, and a 1-byte checksum of the engine's state. The checksum
// detects daemons that have missed a change.
const (
	loadBytes = 14
	// ageUnit is the unit of a packed age. Entries of maxAge or older are not sent.
	ageUnit = 100 * time.Millisecond
	maxAge  = math.MaxUint8 * ageUnit
	// tokenUnit is the unit of packed token counts.
	tokenUnit = 64
)

// ObserveLoad merges load figures that were observed at the given time, without the rest
// of the status. Figures that are not newer than the known ones are ignored. Daemons
// report their local demand this way, as running tokens.
func (v *View) ObserveLoad(vm string, load port.EngineStatus, at time.Time) {
	r := v.record(vm)
	if at.After(r.loadAt) {
		r.loadAt = at
		r.state.Status = withLoad(r.state.Status, load)
	}
}

// Load returns the newest load figures of a VM and when they were observed.
func (v *View) Load(vm string) (port.EngineStatus, time.Time) {
	r, ok := v.records[vm]
	if !ok {
		return port.EngineStatus{}, time.Time{}
	}
	return r.state.Status, r.loadAt
}

// PackLoads packs the load of up to limit engines of a data centre, the newest first.
func (v *View) PackLoads(dataCentre string, limit int, now time.Time) []byte {
	fresh := make([]*record, 0, len(v.records))
	for _, r := range v.records {
		if r.dataCentre == dataCentre && !r.loadAt.IsZero() && now.Sub(r.loadAt) < maxAge {
			fresh = append(fresh, r)
		}
	}
	slices.SortFunc(fresh, func(a, b *record) int {
		return cmp.Or(b.loadAt.Compare(a.loadAt), cmp.Compare(a.key, b.key))
	})
	fresh = fresh[:min(limit, len(fresh))]
	out := make([]byte, 0, len(fresh)*loadBytes)
	for _, r := range fresh {
		out = appendLoad(out, r, now)
	}
	return out
}

func appendLoad(out []byte, r *record, now time.Time) []byte {
	s := r.state.Status
	out = binary.BigEndian.AppendUint32(out, r.key)
	out = append(out, byte(now.Sub(r.loadAt)/ageUnit))
	out = binary.BigEndian.AppendUint16(out, saturate(int64(s.Running)))
	out = binary.BigEndian.AppendUint16(out, saturate(int64(s.Queued)))
	out = binary.BigEndian.AppendUint16(out, saturate(s.QueuedPrefillTokens/tokenUnit))
	out = binary.BigEndian.AppendUint16(out, saturate(s.RunningTokens/tokenUnit))
	return append(out, r.checksum)
}

// saturate converts v to a uint16, with values out of range set to the nearest bound.
func saturate(v int64) uint16 { return uint16(max(0, min(v, math.MaxUint16))) }

// ApplyLoads merges packed loads from a peer. Entries of unknown engines and an
// incomplete last entry are ignored. It returns the keys of engines whose state differs
// at the peer; ChangesByKey at the peer returns that state.
func (v *View) ApplyLoads(packed []byte, now time.Time) []uint32 {
	var mismatched []uint32
	for ; len(packed) >= loadBytes; packed = packed[loadBytes:] {
		r, ok := v.byKey[binary.BigEndian.Uint32(packed)]
		if !ok {
			continue
		}
		// The age is rounded up, so that an entry never gets younger when it is forwarded.
		at := now.Add(-(time.Duration(packed[4]) + 1) * ageUnit)
		if at.After(r.loadAt) {
			r.loadAt = at
			r.state.Status = unpackLoad(r.state.Status, packed[5:])
		}
		if sum := packed[loadBytes-1]; sum != 0 && sum != r.checksum {
			mismatched = append(mismatched, r.key)
		}
	}
	return mismatched
}

func unpackLoad(s port.EngineStatus, p []byte) port.EngineStatus {
	s.Running = int(binary.BigEndian.Uint16(p))
	s.Queued = int(binary.BigEndian.Uint16(p[2:]))
	s.QueuedPrefillTokens = int64(binary.BigEndian.Uint16(p[4:])) * tokenUnit
	s.RunningTokens = int64(binary.BigEndian.Uint16(p[6:])) * tokenUnit
	return s
}
