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

// Stream returns the stream of the partition that a key belongs to.
func Stream(key string, partitions int) string {
	return StreamName(int(xxhash.Sum64String(key) % uint64(partitions)))
}

// StreamName returns the stream of a partition.
func StreamName(partition int) string {
	return StreamPrefix + strconv.Itoa(partition)
}

// Appenders orders daemons by rendezvous hashing: the first one appends for the
// stream, the next ones take over when it is unreachable.
func Appenders(stream string, addresses []string) []string {
	return rendezvous.Top(stream, addresses, len(addresses))
}

// FirstAppender returns the first of Appenders, or "" when there are no addresses.
func FirstAppender(stream string, addresses []string) string {
	return rendezvous.First(stream, addresses)
}

// Options bound a partition. They decide verdicts, so they are part of the
// protocol: a daemon with other values would accept claims that others refuse.
type Options struct {
	// MaxEntries bounds the keys, and the withdrawn claims, that are remembered.
	MaxEntries int
	// Skew is how far the issue time of a key may lie ahead of the log's time.
	Skew time.Duration
	// MaxWindow bounds the window of a claim.
	MaxWindow time.Duration
	// CheckpointKeys bounds the keys in one record of a checkpoint. Readers accept
	// any number.
	CheckpointKeys int
}

// DefaultOptions returns the values that daemons use.
func DefaultOptions() Options {
	return Options{MaxEntries: 50_000, Skew: 2 * time.Minute, MaxWindow: 7 * 24 * time.Hour, CheckpointKeys: 1000}
}

// Decision is the effect of a record.
type Decision string

// Verdicts on records.
const (
	// Accepted means that the claim stands and that its writer may run the call.
	Accepted Decision = "accepted"
	// Duplicate means that another claim on the key stands.
	Duplicate Decision = "duplicate"
	// Withdrawn means that the claim was withdrawn by its writer.
	Withdrawn Decision = "withdrawn"
	// Expired means that the key is older than its window, or than what the
	// partition remembers.
	Expired Decision = "expired"
	// Future means that the issue time is too far ahead of the log's time.
	Future Decision = "future"
	// Full means that the table has no room for another key.
	Full Decision = "full"
	// Recorded is the verdict on an outcome, withdrawal or checkpoint.
	Recorded Decision = "recorded"
	// Malformed means that the record has no effect.
	Malformed Decision = "malformed"
)

// Partition applies the records of one stream. It is not safe for concurrent use.
//
// Time is the log's: a record counts at the highest time of any record up to it.
// A key is forgotten when it is older than the longest window seen so far. floor
// is the newest issue time that may be forgotten; claims on keys issued up to it
// are refused, so a forgotten key cannot run again, even after the window of a
// service was extended.
type Partition struct {
	options Options
	next    int64
	entries map[string]*Entry
	// expiry orders keys by issue time.
	expiry expiryHeap
	// dead is the number of withdrawn claims in entries.
	dead int
	// clock, floor and windowS are in Unix seconds and seconds.
	clock   int64
	floor   int64
	windowS int64
	// covered is the Through of the newest checkpoint, coveredClock its Clock.
	covered      int64
	coveredClock int64
	// scan is set while the records below next are unknown.
	scan *scan
}

// NewPartition returns a Partition that expects offset 0 next.
func NewPartition(options Options) *Partition {
	p := &Partition{options: options}
	p.reset()
	return p
}

func (p *Partition) reset() {
	*p = Partition{options: p.options, entries: map[string]*Entry{}}
}

// Next returns the offset expected next.
func (p *Partition) Next() int64 { return p.next }

// Scanning tells whether records were lost and neither a checkpoint nor a reset was
// read since.
func (p *Partition) Scanning() bool { return p.scan != nil }

// Size returns the number of keys and withdrawn claims that are remembered.
func (p *Partition) Size() int { return len(p.entries) + p.dead }

// Entry returns a copy of the state of a key, or nil when nothing is known of it.
func (p *Partition) Entry(key string) *Entry { return p.entries[key].clone() }

// Decided returns the verdict on a record that the applied records decide already, so
// that it need not be appended (again).
func (p *Partition) Decided(r Record) (Decision, bool) {
	e := p.entries[r.Key]
	attempt := Attempt{Claim: r.Claim, Owner: r.Owner}
	own := e.InForce() && e.Attempt == attempt
	switch {
	case p.scan != nil:
		return "", false
	case r.Kind == KindClaim && e.withdrawn(attempt):
		return Withdrawn, true
	case r.Kind == KindClaim && own && e.Result == "":
		return Accepted, true
	case r.Kind == KindClaim && e.InForce():
		return Duplicate, true
	case r.Kind == KindWithdraw && e.withdrawn(attempt), r.Kind == KindOutcome && own && e.Result != "":
		return Recorded, true
	}
	return "", false
}

// CheckpointDue tells whether a checkpoint should be written: records arrived since
// the last one, and either their number reaches records or the log's time advanced
// by age.
func (p *Partition) CheckpointDue(records int64, age time.Duration, now time.Time) bool {
	since := p.next - p.covered
	if p.scan != nil || since <= 0 {
		return false
	}
	return since >= records || now.Unix()-p.coveredClock >= int64(age.Seconds())
}

// Apply applies a record and returns its verdict. The first claim on a key wins.
// Malformed records and records at another offset than Next are ignored alike by
// every reader: after a scan the reader reads again from a lower offset.
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

// advance moves the clock and forgets keys that are older than every window.
func (p *Partition) advance(clock int64) {
	p.clock = max(p.clock, clock)
	if p.windowS > 0 {
		p.floor = max(p.floor, p.clock-p.windowS)
	}
	if p.coveredClock == 0 {
		p.coveredClock = p.clock
	}
	for len(p.expiry) > 0 && p.expiry[0].issued <= p.floor {
		item := heap.Pop(&p.expiry).(expiryItem)
		e := p.entries[item.key]
		if e.Issued > item.issued {
			// A later record stated a later issue time for the key.
			heap.Push(&p.expiry, expiryItem{issued: e.Issued, key: item.key})
			continue
		}
		p.dead -= len(e.Withdrawn)
		delete(p.entries, item.key)
	}
}

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
	e = p.remember(r)
	e.Attempt = attempt
	e.OwnerAddress = r.OwnerAddress
	e.Digest = r.Digest
	e.Claimed = p.clock
	return Accepted
}

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

// applyWithdraw frees a key whose call was not sent. A withdrawal may precede its
// claim on the log, and then keeps it from being accepted.
func (p *Partition) applyWithdraw(r Record) Decision {
	attempt := Attempt{Claim: r.Claim, Owner: r.Owner}
	e := p.entries[r.Key]
	if e.withdrawn(attempt) || r.Key == "" {
		return Recorded
	}
	if e.InForce() && e.Attempt == attempt {
		if e.Result == "" {
			*e = Entry{Issued: e.Issued, Withdrawn: append(e.Withdrawn, attempt)}
			p.dead++
		}
		return Recorded
	}
	// A claim that is refused by its age anyway needs no entry. Neither does one
	// beyond a full table: its writer never runs it, so it may only block the key.
	if r.Issued <= p.floor || p.Size()+2 > p.options.MaxEntries {
		return Recorded
	}
	if r.Issued > p.clock+int64(p.options.Skew.Seconds()) {
		return Recorded
	}
	e = p.remember(r)
	e.Withdrawn = append(e.Withdrawn, attempt)
	p.dead++
	return Recorded
}

func (p *Partition) applyCheckpoint(r Record) Decision {
	c := r.Checkpoint
	// The parts are appended in order, so the last one completes the checkpoint.
	if c != nil && c.Part == c.Parts-1 && c.Through > p.covered {
		p.covered = c.Through
		p.coveredClock = p.clock
	}
	return Recorded
}

// remember returns the entry of the record's key, which lasts at least until the
// issue time that the record states has expired.
func (p *Partition) remember(r Record) *Entry {
	e := p.entries[r.Key]
	if e == nil {
		e = &Entry{Issued: r.Issued}
		p.insert(r.Key, e)
	}
	e.Issued = max(e.Issued, r.Issued)
	return e
}

func (p *Partition) insert(key string, e *Entry) {
	p.entries[key] = e
	p.dead += len(e.Withdrawn)
	heap.Push(&p.expiry, expiryItem{issued: e.Issued, key: key})
}

// expiryItem is a key and its issue time in Unix seconds.
type expiryItem struct {
	issued int64
	key    string
}

// expiryHeap implements heap.Interface; the oldest key comes first.
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
