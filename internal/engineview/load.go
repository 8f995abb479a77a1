package engineview

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
)

// A load entry is packed to keep the cost of a probe small: 4 bytes hash of the
// VM's id, 1 byte age, 2 bytes each for running and queued requests, queued prefill
// tokens and running tokens, and 1 byte checksum of the engine's state. The
// checksum finds daemons that a change has not reached.
const (
	loadBytes = 14
	// ageUnit is the unit of a packed age; older entries than maxAge are not sent.
	ageUnit = 100 * time.Millisecond
	maxAge  = math.MaxUint8 * ageUnit
	// tokenUnit is the unit of packed token counts.
	tokenUnit = 64
)

// ObserveLoad takes in a load figure alone, without a state. Daemons spread their
// own demand this way, as running tokens.
func (v *View) ObserveLoad(vm string, load port.EngineStatus, at time.Time) {
	r := v.record(vm)
	if at.After(r.load) {
		r.load = at
		r.state.Status = withLoad(r.state.Status, load)
	}
}

// Load returns the newest load figures of a VM and when they were seen.
func (v *View) Load(vm string) (port.EngineStatus, time.Time) {
	r, ok := v.records[vm]
	if !ok {
		return port.EngineStatus{}, time.Time{}
	}
	return r.state.Status, r.load
}

// PackLoads packs the load of up to limit engines of a data centre, the newest first.
func (v *View) PackLoads(dataCentre string, limit int, now time.Time) []byte {
	fresh := make([]*record, 0, len(v.records))
	for _, r := range v.records {
		if r.dataCentre == dataCentre && !r.load.IsZero() && now.Sub(r.load) < maxAge {
			fresh = append(fresh, r)
		}
	}
	slices.SortFunc(fresh, func(a, b *record) int {
		return cmp.Or(b.load.Compare(a.load), cmp.Compare(a.key, b.key))
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
	out = append(out, byte(now.Sub(r.load)/ageUnit))
	out = binary.BigEndian.AppendUint16(out, saturate(int64(s.Running)))
	out = binary.BigEndian.AppendUint16(out, saturate(int64(s.Queued)))
	out = binary.BigEndian.AppendUint16(out, saturate(s.QueuedPrefillTokens/tokenUnit))
	out = binary.BigEndian.AppendUint16(out, saturate(s.RunningTokens/tokenUnit))
	return append(out, r.sum)
}

func saturate(v int64) uint16 { return uint16(max(0, min(v, math.MaxUint16))) }

// ApplyLoads takes in packed loads from a peer. Entries of unknown engines and a
// malformed tail are ignored. It returns the keys of engines whose state the peer
// knows differently; Select at the peer returns that state.
func (v *View) ApplyLoads(packed []byte, now time.Time) []uint32 {
	var different []uint32
	for ; len(packed) >= loadBytes; packed = packed[loadBytes:] {
		r, ok := v.byKey[binary.BigEndian.Uint32(packed)]
		if !ok {
			continue
		}
		// Rounding up keeps an entry from growing younger as it is passed on.
		at := now.Add(-(time.Duration(packed[4]) + 1) * ageUnit)
		if at.After(r.load) {
			r.load = at
			r.state.Status = unpackLoad(r.state.Status, packed[5:])
		}
		if sum := packed[loadBytes-1]; sum != 0 && sum != r.sum {
			different = append(different, r.key)
		}
	}
	return different
}

func unpackLoad(s port.EngineStatus, p []byte) port.EngineStatus {
	s.Running = int(binary.BigEndian.Uint16(p))
	s.Queued = int(binary.BigEndian.Uint16(p[2:]))
	s.QueuedPrefillTokens = int64(binary.BigEndian.Uint16(p[4:])) * tokenUnit
	s.RunningTokens = int64(binary.BigEndian.Uint16(p[6:])) * tokenUnit
	return s
}
