package claim

import (
	"container/heap"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/rendezvous"
)

// StreamPrefix precedes the partition number in the name of a claim stream.
const StreamPrefix = "claims/"

// Stream returns the name of the stream of the partition that a key belongs to.
func Stream(key string, partitions int) string {
	return StreamName(int(xxhash.Sum64String(key) % uint64(partitions)))
}

// StreamName returns the name of the stream of a partition.
func StreamName(partition int) string {
	return StreamPrefix + strconv.Itoa(partition)
}

// Appenders orders daemons by rendezvous hashing: the first one appends to the stream, and
// the next ones replace it in this order when it is unreachable.
func Appenders(stream string, addresses []string) []string {
	return rendezvous.Top(stream, addresses, len(addresses))
}

// FirstAppender returns the first of Appenders, or "" when there are no addresses.
func FirstAppender(stream string, addresses []string) string {
	return rendezvous.First(stream, addresses)
}

// Options configures a Partition. The values affect decisions, so they are part of the
// protocol: a daemon with different values would accept claims that its peers refuse.
type Options struct {
	// MaxEntries bounds the number of stored keys and withdrawn claims together.
	MaxEntries int
	// Skew is how far the issue time of a key may lie ahead of the log's time.
	Skew time.Duration
	// MaxWindow bounds the window of a claim.
	MaxWindow time.Duration
	// CheckpointKeys bounds the number of keys in one record of a checkpoint that is
	// written. Readers accept any number.
	CheckpointKeys int
}

// DefaultOptions returns the values that daemons use.
func DefaultOptions() Options {
	return Options{MaxEntries: 50_000, Skew: 2 * time.Minute, MaxWindow: 7 * 24 * time.Hour, CheckpointKeys: 1000}
}

// Decision is the effect of a record on the state of a partition.
type Decision string

// Decisions on records.
const (
	// Accepted means that the claim is in force and that its writer may run the call.
	Accepted Decision = "accepted"
	// Duplicate means that another claim on the key is in force, or that the outcome of
	// this claim is already recorded.
	Duplicate Decision = "duplicate"
	// Withdrawn means that the writer of the claim has withdrawn it.
	Withdrawn Decision = "withdrawn"
	// Expired means that the key is older than its window, or that the partition may
	// already have removed it because of its age.
	Expired Decision = "expired"
	// Future means that the issue time is too far ahead of the log's time.
	Future Decision = "future"
	// Full means that the table has no room for another key.
	Full Decision = "full"
	// Recorded is the decision on an outcome, withdrawal, checkpoint or reset.
	Recorded Decision = "recorded"
	// Malformed means that the record has no effect.
	Malformed Decision = "malformed"
)

// Partition applies the records of one stream. It is not safe for concurrent use.
//
// Time is the log's time: a record is dated with the latest time of any record up to and
// including it. A key is removed when it is older than the longest window seen so far.
// floor is the latest issue time of keys that may have been removed. Claims on keys
// issued up to it are refused, so that a removed key cannot run again, even after the
// window of a service is extended.
type Partition struct {
	options Options
	next    int64
	entries map[string]*Entry
	// expiry orders keys by issue time.
	expiry expiryHeap
	// withdrawnCount is the number of withdrawn claims in entries.
	withdrawnCount int
	// clock and floor are in Unix seconds, windowS, the longest window seen, is in
	// seconds.
	clock   int64
	floor   int64
	windowS int64
	// checkpointOffset is the Through of the latest complete checkpoint, or the offset
	// after the latest reset; checkpointClock is the value of clock at that point.
	checkpointOffset int64
	checkpointClock  int64
	// scan is set while the state that the records below next produced is unknown.
	scan *scan
}

// NewPartition returns a Partition that expects offset 0 next.
func NewPartition(options Options) *Partition {
	p := &Partition{options: options}
	p.reset()
	return p
}

// reset returns the partition to the empty state that expects offset 0.
func (p *Partition) reset() {
	*p = Partition{options: p.options, entries: map[string]*Entry{}}
}

// Next returns the offset of the record that is expected next.
func (p *Partition) Next() int64 { return p.next }

// Scanning reports whether records were lost and neither a covering checkpoint nor a
// reset has been applied since.
func (p *Partition) Scanning() bool { return p.scan != nil }

// Size returns the number of stored keys and withdrawn claims together.
func (p *Partition) Size() int { return len(p.entries) + p.withdrawnCount }

// Entry returns a copy of the state of a key, or nil if the key is not stored.
func (p *Partition) Entry(key string) *Entry { return p.entries[key].clone() }

// Decided returns the decision on a record if the applied records already determine it,
// so that the record need not be appended, or appended again. Otherwise it returns false.
func (p *Partition) Decided(r Record) (Decision, bool) {
	e := p.entries[r.Key]
	attempt := Attempt{Claim: r.Claim, Owner: r.Owner}
	inForce := e.InForce() && e.Attempt == attempt
	switch {
	case p.scan != nil:
		return "", false
	case r.Kind == KindClaim && e.withdrawn(attempt):
		return Withdrawn, true
	case r.Kind == KindClaim && inForce && e.Result == "":
		return Accepted, true
	case r.Kind == KindClaim && e.InForce():
		return Duplicate, true
	case r.Kind == KindWithdraw && e.withdrawn(attempt), r.Kind == KindOutcome && inForce && e.Result != "":
		return Recorded, true
	}
	return "", false
}

// CheckpointDue reports whether a checkpoint should be written: records were applied since
// the last one, and either there are at least as many as the records argument or the last
// one is at least age old at now.
func (p *Partition) CheckpointDue(records int64, age time.Duration, now time.Time) bool {
	since := p.next - p.checkpointOffset
	if p.scan != nil || since <= 0 {
		return false
	}
	return since >= records || now.Unix()-p.checkpointClock >= int64(age.Seconds())
}

// Apply applies a record and returns the decision on it. The first claim on a key wins.
// Every reader ignores malformed records and records at another offset than Next; the
// latter occur after a scan, when the reader continues at a lower offset.
func (p *Partition) Apply(rec port.Record) Decision {
	if rec.Offset != p.next {
		return Malformed
	}
	p.next = rec.Offset + 1
	var r Record
	if err := json.Unmarshal(rec.Data, &r); err != nil {
		r = Record{}
	}
	if p.scan != nil {
		p.scanRecord(r, rec)
		return Malformed
	}
	p.advance(rec.Time.Unix())
	switch r.Kind {
	case KindClaim:
		return p.applyClaim(r)
	case KindOutcome:
		return p.applyOutcome(r, rec.Offset)
	case KindWithdraw:
		return p.applyWithdraw(r)
	case KindCheckpoint:
		return p.applyCheckpoint(r)
	case KindReset:
		return p.applyReset(r, rec)
	}
	return Malformed
}

// advance advances the clock and removes the keys that are older than the longest window.
func (p *Partition) advance(clock int64) {
	p.clock = max(p.clock, clock)
	if p.windowS > 0 {
		p.floor = max(p.floor, p.clock-p.windowS)
	}
	if p.checkpointClock == 0 {
		p.checkpointClock = p.clock
	}
	for len(p.expiry) > 0 && p.expiry[0].issued <= p.floor {
		item := heap.Pop(&p.expiry).(expiryItem)
		e := p.entries[item.key]
		if e.Issued > item.issued {
			// A later record has a later issue time for the key.
			heap.Push(&p.expiry, expiryItem{issued: e.Issued, key: item.key})
			continue
		}
		p.withdrawnCount -= len(e.Withdrawn)
		delete(p.entries, item.key)
	}
}

// applyClaim accepts a claim on a free key, or returns the reason for which it does not.
func (p *Partition) applyClaim(r Record) Decision {
	if r.Key == "" || r.Claim == "" || r.WindowS <= 0 || r.WindowS > int64(p.options.MaxWindow.Seconds()) {
		return Malformed
	}
	e := p.entries[r.Key]
	attempt := Attempt{Claim: r.Claim, Owner: r.Owner}
	switch {
	case e.withdrawn(attempt):
		return Withdrawn
	case e.InForce() && e.Attempt == attempt && e.Result == "":
		return Accepted
	case e.InForce():
		return Duplicate
	case r.Issued <= p.floor || r.Issued+r.WindowS < p.clock:
		return Expired
	case r.Issued > p.clock+int64(p.options.Skew.Seconds()):
		return Future
	case p.Size() >= p.options.MaxEntries:
		return Full
	}
	p.windowS = max(p.windowS, r.WindowS)
	e = p.ensureEntry(r)
	e.Attempt = attempt
	e.OwnerAddress = r.OwnerAddress
	e.Digest = r.Digest
	e.Claimed = p.clock
	return Accepted
}

// applyOutcome stores the outcome of the claim in force. An outcome of any other claim, and
// a second one, has no effect.
func (p *Partition) applyOutcome(r Record, offset int64) Decision {
	e := p.entries[r.Key]
	if !e.InForce() || e.Attempt != (Attempt{Claim: r.Claim, Owner: r.Owner}) || e.Result != "" {
		return Recorded
	}
	e.Result = r.Result
	e.AnswerOffset = -1
	if r.Answer != nil {
		e.AnswerOffset = offset
	}
	return Recorded
}

// applyWithdraw releases a key whose call was not sent. A withdrawal may precede its claim
// on the log; the claim is then refused.
func (p *Partition) applyWithdraw(r Record) Decision {
	attempt := Attempt{Claim: r.Claim, Owner: r.Owner}
	e := p.entries[r.Key]
	if e.withdrawn(attempt) || r.Key == "" {
		return Recorded
	}
	if e.InForce() && e.Attempt == attempt {
		if e.Result == "" {
			*e = Entry{Issued: e.Issued, Withdrawn: append(e.Withdrawn, attempt)}
			p.withdrawnCount++
		}
		return Recorded
	}
	// No entry is needed if the claim will be refused because of its age. None is added
	// to a full table either: the writer never runs the claim, so that the claim could
	// only block the key.
	if r.Issued <= p.floor || p.Size()+2 > p.options.MaxEntries {
		return Recorded
	}
	if r.Issued > p.clock+int64(p.options.Skew.Seconds()) {
		return Recorded
	}
	e = p.ensureEntry(r)
	e.Withdrawn = append(e.Withdrawn, attempt)
	p.withdrawnCount++
	return Recorded
}

func (p *Partition) applyCheckpoint(r Record) Decision {
	c := r.Checkpoint
	// The parts are appended in order, so the last one completes the checkpoint.
	if c != nil && c.Part == c.Parts-1 && c.Through > p.checkpointOffset {
		p.checkpointOffset = c.Through
		p.checkpointClock = p.clock
	}
	return Recorded
}

// ensureEntry returns the entry of the record's key, and adds it if it does not exist. The
// entry is kept at least until the issue time of the record expires.
func (p *Partition) ensureEntry(r Record) *Entry {
	e := p.entries[r.Key]
	if e == nil {
		e = &Entry{Issued: r.Issued}
		p.insert(r.Key, e)
	}
	e.Issued = max(e.Issued, r.Issued)
	return e
}

// insert stores an entry under a key that has none.
func (p *Partition) insert(key string, e *Entry) {
	p.entries[key] = e
	p.withdrawnCount += len(e.Withdrawn)
	heap.Push(&p.expiry, expiryItem{issued: e.Issued, key: key})
}

// expiryItem is a key and its issue time in Unix seconds.
type expiryItem struct {
	issued int64
	key    string
}

// expiryHeap implements heap.Interface as a min-heap by issue time.
type expiryHeap []expiryItem

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].issued < h[j].issued }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiryItem)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
