package claim

import (
	"sort"

	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// maxOpenCheckpoints bounds the incomplete checkpoints kept during a scan.
	maxOpenCheckpoints = 8
	// maxResetDelay is the number of records by which a reset may be late.
	maxResetDelay = 64
)

// Checkpoint is one part of a copy of a partition's state.
type Checkpoint struct {
	ID string `json:"id"`
	// Through is the offset up to which, exclusively, records are covered.
	Through int64 `json:"through"`
	// Part counts from 0 to Parts-1.
	Part  int `json:"part"`
	Parts int `json:"parts"`
	// Clock, Floor and WindowS are those of the Partition.
	Clock   int64           `json:"clock"`
	Floor   int64           `json:"floor"`
	WindowS int64           `json:"window_s"`
	Entries []CheckpointKey `json:"entries"`
}

// CheckpointKey is the state of one key in a Checkpoint.
type CheckpointKey struct {
	Key   string `json:"key"`
	Entry Entry  `json:"entry"`
}

// CheckpointRecords returns the records of a checkpoint of the current state, in order.
// It returns none while the stream's history is not known.
func (p *Partition) CheckpointRecords(id string) []Record {
	if p.scan != nil {
		return nil
	}
	keys := make([]string, 0, len(p.entries))
	for key := range p.entries {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	size := p.options.CheckpointKeys
	parts := max(1, (len(keys)+size-1)/size)
	records := make([]Record, parts)
	for i := range records {
		c := &Checkpoint{
			ID: id, Through: p.next, Part: i, Parts: parts,
			Clock: p.clock, Floor: p.floor, WindowS: p.windowS,
		}
		from := i * size
		to := min(from+size, len(keys))
		for _, key := range keys[from:to] {
			c.Entries = append(c.Entries, CheckpointKey{Key: key, Entry: *p.entries[key].clone()})
		}
		records[i] = Record{Kind: KindCheckpoint, Claim: id, Checkpoint: c}
	}
	return records
}

// scan looks for a checkpoint or a reset on a stream whose first records are lost.
type scan struct {
	// first is the oldest retained offset.
	first int64
	open  map[string][]*Checkpoint
}

// MarkTruncated tells that records below first are lost. The caller reads on from
// Next; the state is known again after a checkpoint that covers the lost records,
// or a reset. Until then no claim is accepted.
func (p *Partition) MarkTruncated(first int64) {
	if first <= p.next {
		return
	}
	p.scan = &scan{first: first, open: map[string][]*Checkpoint{}}
	p.next = first
}

// scanRecord collects checkpoints and restores the state from the first complete
// one that covers the lost records.
func (p *Partition) scanRecord(r Record, rec port.Record) {
	if r.Kind == KindReset {
		p.applyReset(r, rec)
		return
	}
	s := p.scan
	c := r.Checkpoint
	if r.Kind != KindCheckpoint || c == nil || c.Through < s.first || c.Part < 0 || c.Part >= c.Parts {
		return
	}
	parts, ok := s.open[c.ID]
	if !ok {
		if len(s.open) >= maxOpenCheckpoints {
			clear(s.open)
		}
		parts = make([]*Checkpoint, c.Parts)
		s.open[c.ID] = parts
	}
	if len(parts) != c.Parts {
		return
	}
	parts[c.Part] = c
	for _, part := range parts {
		if part == nil {
			return
		}
	}
	p.restore(parts)
}

func (p *Partition) restore(parts []*Checkpoint) {
	c := parts[0]
	p.reset()
	p.next = c.Through
	p.covered = c.Through
	p.coveredClock = c.Clock
	p.clock = c.Clock
	p.floor = c.Floor
	p.windowS = c.WindowS
	for _, part := range parts {
		for _, k := range part.Entries {
			p.insert(k.Key, k.Entry.clone())
		}
	}
}

// ResetRecord returns the record by which a reader that lost records makes all readers
// forget every key and refuse those that may have been claimed. Readers must not
// recover alone: one that only knows the retained records decides otherwise on a
// full table, and then on later claims.
func (p *Partition) ResetRecord(id string) Record {
	return Record{Kind: KindReset, Claim: id, Through: p.next}
}

// applyReset refuses every key issued up to the reset's time plus the permitted
// skew; a claim before it cannot state a later one. The skew counts twice so that
// the log's clock may step back by as much. A reset that reaches the log late has
// no effect, since the state may be known again by then.
func (p *Partition) applyReset(r Record, rec port.Record) Decision {
	if rec.Offset-r.Through >= maxResetDelay {
		return Malformed
	}
	p.reset()
	p.next = rec.Offset + 1
	p.covered = p.next
	p.clock = rec.Time.Unix()
	p.coveredClock = p.clock
	p.floor = p.clock + 2*int64(p.options.Skew.Seconds())
	return Recorded
}
