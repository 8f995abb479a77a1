// Package replay tracks the position of a reader in a stream of the log that retains
// records for a shorter time than the system runs. A reader whose next record has expired
// continues from a checkpoint. Daemons write a new checkpoint before the last one expires.
package replay

import "time"

// Limits determines when a new checkpoint must be written to a stream.
type Limits struct {
	// Records is the largest number of records that a new reader may have to apply after
	// a checkpoint.
	Records int64
	// Age is the longest time between two checkpoints. It must be well below the
	// log's retention.
	Age time.Duration
}

// Cursor is a reader's position in one stream. The zero value expects offset 0
// next. It is not safe for concurrent use.
type Cursor struct {
	// next is the offset of the record that is applied next.
	next int64
	// minCovers is the smallest Covers value of a checkpoint that ends the recovery; 0 when
	// the reader is not recovering.
	minCovers int64
	// nextScan is the offset to read next while the reader looks for a checkpoint.
	nextScan int64
	// oldestRetained is the oldest retained offset while the reader is recovering because
	// records below it expired before it read them, otherwise 0.
	oldestRetained int64
	// base is the offset from which a new reader has to read: the Covers value of the newest
	// checkpoint, or 0. baseTime is the time of that checkpoint, or of the first record.
	base     int64
	baseTime time.Time
}

// Next returns the offset of the record that has to be applied next.
func (c *Cursor) Next() int64 { return c.next }

// ReadOffset returns the offset to read from. While the reader is recovering, it is the
// position of the search for a checkpoint, otherwise Next.
func (c *Cursor) ReadOffset() int64 {
	if c.Recovering() {
		return c.nextScan
	}
	return c.next
}

// Recovering reports whether the reader needs a checkpoint to continue.
func (c *Cursor) Recovering() bool { return c.minCovers > 0 }

// Truncate records that the records below oldestRetained have expired. When the reader has
// not applied all of them, it starts to recover and searches for a checkpoint from
// oldestRetained on.
func (c *Cursor) Truncate(oldestRetained int64) {
	if oldestRetained <= c.next {
		return
	}
	c.minCovers = max(c.minCovers, oldestRetained)
	c.nextScan = max(c.nextScan, oldestRetained)
	c.oldestRetained = oldestRetained
}

// Expired returns the oldest retained offset and the newest scanned offset. ok is false
// unless the reader is recovering because records expired before it read them.
func (c *Cursor) Expired() (oldestRetained, newestScanned int64, ok bool) {
	if !c.Recovering() || c.oldestRetained == 0 {
		return 0, 0, false
	}
	return c.oldestRetained, c.nextScan - 1, true
}

// RequireCheckpointAfter records that this reader cannot apply the record at offset. The
// reader then searches for a checkpoint that covers it.
func (c *Cursor) RequireCheckpointAfter(offset int64) {
	c.minCovers = max(c.minCovers, offset+1)
	c.nextScan = max(c.nextScan, offset+1)
	c.oldestRetained = 0
}

// MarkScanned marks the record at offset as scanned during a recovery. A record with a
// higher offset that a peer forwarded is ignored, so that no unread record is skipped.
func (c *Cursor) MarkScanned(offset int64) {
	if offset == c.nextScan {
		c.nextScan++
	}
}

// Advance marks the record at Next, whose time is at, as applied. When a peer supplies the
// records that a recovering reader lacks, the last of them ends the recovery.
func (c *Cursor) Advance(at time.Time) {
	if c.baseTime.IsZero() {
		c.baseTime = at
	}
	c.next++
	c.endRecovery()
}

// endRecovery ends the recovery unless records below minCovers are still missing.
func (c *Cursor) endRecovery() {
	if c.next < c.minCovers {
		return
	}
	c.minCovers = 0
	c.nextScan = 0
	c.oldestRetained = 0
}

// ObserveCheckpoint records that the stream holds a checkpoint, written at the given time,
// that covers all offsets below covers.
func (c *Cursor) ObserveCheckpoint(covers int64, at time.Time) {
	if covers >= c.base {
		c.base = covers
		c.baseTime = at
	}
}

// CanRestore reports whether a checkpoint that covers all offsets below covers moves the
// reader forward without leaving a gap.
func (c *Cursor) CanRestore(covers int64) bool { return covers > c.next && covers >= c.minCovers }

// Restore moves the reader forward to a checkpoint that covers all offsets below covers. A
// checkpoint that leaves a gap does not end the recovery.
func (c *Cursor) Restore(covers int64) {
	c.next = covers
	c.endRecovery()
}

// Base returns the offset from which a new reader has to read.
func (c *Cursor) Base() int64 { return c.base }

// Due reports whether a new checkpoint must be written: the stream no longer retains all
// records from the base on, or the records or the time since the newest checkpoint reach
// the limits. A reader that is recovering or has applied nothing writes none.
func (c *Cursor) Due(now time.Time, oldestRetained int64, limits Limits) bool {
	switch {
	case c.Recovering() || c.next == 0:
		return false
	case oldestRetained > c.base || c.next-c.base >= limits.Records:
		return true
	}
	return now.Sub(c.baseTime) >= limits.Age
}
