package claim

import (
	"sort"

	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// maxPartialCheckpoints bounds the number of incomplete checkpoints kept during a scan.
	maxPartialCheckpoints = 8
	// maxResetDelay bounds the number of records between the writer's position and the
	// reset on the log; a reset at this distance or more is ignored.
	maxResetDelay = 64
)

// Checkpoint is one part of a snapshot of a partition's state.
type Checkpoint struct {
	ID string `json:"id"`
	// Through is the offset up to which, exclusively, records are covered.
	Through int64 `json:"through"`
	// Part is the number of the part, 0 to Parts-1.
	Part  int `json:"part"`
	Parts int `json:"parts"`
	// Clock, Floor and WindowS are the clock, floor and windowS of the Partition.
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
// It returns nil during a scan, when the state is unknown.
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
	// firstOffset is the oldest retained offset.
	firstOffset int64
	// partial holds the parts of incomplete checkpoints by checkpoint id.
	partial map[string][]*Checkpoint
}

// MarkTruncated records that the records below firstOffset are lost and starts a scan.
// The caller continues to read at Next. The scan ends with a checkpoint that covers the
// lost records, or with a reset. Until then no claim is accepted.
func (p *Partition) MarkTruncated(firstOffset int64) {
	if firstOffset <= p.next {
		return
	}
	p.scan = &scan{firstOffset: firstOffset, partial: map[string][]*Checkpoint{}}
	p.next = firstOffset
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
	if r.Kind != KindCheckpoint || c == nil || c.Through < s.firstOffset || c.Part < 0 || c.Part >= c.Parts {
		return
	}
	parts, ok := s.partial[c.ID]
	if !ok {
		if len(s.partial) >= maxPartialCheckpoints {
			clear(s.partial)
		}
		parts = make([]*Checkpoint, c.Parts)
		s.partial[c.ID] = parts
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

// restore replaces the state by that of a complete checkpoint and ends the scan.
func (p *Partition) restore(parts []*Checkpoint) {
	c := parts[0]
	p.reset()
	p.next = c.Through
	p.checkpointOffset = c.Through
	p.checkpointClock = c.Clock
	p.clock = c.Clock
	p.floor = c.Floor
	p.windowS = c.WindowS
	for _, part := range parts {
		for _, k := range part.Entries {
			p.insert(k.Key, k.Entry.clone())
		}
	}
}

// ResetRecord returns the record with which a reader that lost records makes all readers
// remove every key and refuse those that may have been claimed. A reader must not reset
// only its own state: with only the retained records it would decide differently from
// other readers on a full table, and then on later claims.
func (p *Partition) ResetRecord(id string) Record {
	return Record{Kind: KindReset, Claim: id, Through: p.next}
}

// applyReset removes every key and refuses those issued up to the time of the reset plus
// the permitted skew; a claim before the reset cannot have a later issue time. The skew
// counts twice so that the log's clock may step back by as much. A reset that reaches
// the log late has no effect, because the state may be known again by then.
func (p *Partition) applyReset(r Record, rec port.Record) Decision {
	if rec.Offset-r.Through >= maxResetDelay {
		return Malformed
	}
	p.reset()
	p.next = rec.Offset + 1
	p.checkpointOffset = p.next
	p.clock = rec.Time.Unix()
	p.checkpointClock = p.clock
	p.floor = p.clock + 2*int64(p.options.Skew.Seconds())
	return Recorded
}
