// Package replay tracks how far a reader has followed a stream of the log whose
// retention is shorter than the run. A reader that finds its next record expired
// goes on from a checkpoint, which a daemon writes again before it expires.
package replay

import "time"

// Limits tell when the newest checkpoint of a stream must be replaced.
type Limits struct {
	// Records is the number of records that a new reader may have to apply on top
	// of a checkpoint.
	Records int64
	// Age is the longest time between two checkpoints. It must be well below the
	// log's retention.
	Age time.Duration
}

// Cursor is a reader's position in one stream. The zero value expects offset 0
// next. It is not safe for concurrent use.
type Cursor struct {
	next int64
	// need is the lowest offset that a checkpoint must cover to end a recovery;
	// 0 when the reader is not recovering.
	need int64
	scan int64
	// first is the oldest retained offset when records before it expired unread and
	// the recovery is due to that, else 0.
	first int64
	// base is the offset from which a new reader has to read.
	base     int64
	baseTime time.Time
}

// Next returns the offset of the record that is applied next.
func (c *Cursor) Next() int64 { return c.next }

// ReadOffset returns the offset to read from. It differs from Next while the
// reader looks for a checkpoint.
func (c *Cursor) ReadOffset() int64 {
	if c.Recovering() {
		return c.scan
	}
	return c.next
}

// Recovering tells whether the reader needs a checkpoint to go on.
func (c *Cursor) Recovering() bool { return c.need > 0 }

// Truncate reports that records below first have expired. A reader that has not
// applied them looks for a checkpoint from there on.
func (c *Cursor) Truncate(first int64) {
	if first <= c.next {
		return
	}
	c.need = max(c.need, first)
	c.scan = max(c.scan, first)
	c.first = first
}

// Expired returns the oldest retained offset and the newest one that was looked at
// by a reader that is recovering because records expired before it read them.
func (c *Cursor) Expired() (first, newest int64, ok bool) {
	if !c.Recovering() || c.first == 0 {
		return 0, 0, false
	}
	return c.first, c.scan - 1, true
}

// RequireCheckpointAfter reports that the record at offset cannot be applied by this reader, which
// then looks for a checkpoint that covers it.
func (c *Cursor) RequireCheckpointAfter(offset int64) {
	c.need = max(c.need, offset+1)
	c.scan = max(c.scan, offset+1)
	c.first = 0
}

// MarkScanned counts a record as looked at during a recovery. A record that a peer
// passed on from further ahead does not move the reader past unread ones.
func (c *Cursor) MarkScanned(offset int64) {
	if offset == c.scan {
		c.scan++
	}
}

// Advance counts the record at Next as applied. A peer may supply the records
// that a recovering reader misses, which ends the recovery.
func (c *Cursor) Advance(at time.Time) {
	if c.baseTime.IsZero() {
		c.baseTime = at
	}
	c.next++
	c.endRecovery()
}

// endRecovery ends a recovery at an offset below which nothing is missing.
func (c *Cursor) endRecovery() {
	if c.next < c.need {
		return
	}
	c.need = 0
	c.scan = 0
	c.first = 0
}

// ObserveCheckpoint reports a checkpoint on the stream that covers all offsets below covers.
func (c *Cursor) ObserveCheckpoint(covers int64, at time.Time) {
	if covers >= c.base {
		c.base = covers
		c.baseTime = at
	}
}

// CanRestore tells whether a checkpoint takes the reader forward and leaves no gap.
func (c *Cursor) CanRestore(covers int64) bool { return covers > c.next && covers >= c.need }

// Restore moves the reader forward to a checkpoint. One that leaves a gap does not
// end a recovery.
func (c *Cursor) Restore(covers int64) {
	c.next = covers
	c.endRecovery()
}

// Base returns the offset from which a new reader has to read.
func (c *Cursor) Base() int64 { return c.base }

// Due tells whether a new checkpoint must be written when the oldest retained
// offset is first.
func (c *Cursor) Due(now time.Time, first int64, limits Limits) bool {
	switch {
	case c.Recovering() || c.next == 0:
		return false
	case first > c.base || c.next-c.base >= limits.Records:
		return true
	}
	return now.Sub(c.baseTime) >= limits.Age
}
