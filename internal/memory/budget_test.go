package memory

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/seedtest"
)

const testMemory = 100 << 20

// Guards against orders of reservations and releases that exceed the budget or leak from it.
func TestBudgetIsNeitherExceededNorLeaked(t *testing.T) {
	seedtest.Run(t, func(t *testing.T, seed uint64) {
		r := rand.New(rand.NewPCG(seed, 2))
		b := NewBudget(testMemory)
		now := time.Unix(1, 0)
		var requests []*Request
		reserved := [classCount][]int64{}
		for range 5000 {
			now = now.Add(time.Duration(r.IntN(100)) * time.Millisecond)
			class := Class(r.IntN(int(Connections)))
			switch r.IntN(5) {
			case 0:
				requests = append(requests, b.NewRequest(fmt.Sprint(r.IntN(5)), func() {}))
			case 1, 2:
				if len(requests) > 0 && class != Responses {
					o := requests[r.IntN(len(requests))]
					if o.Grow(now, class, max(0, o.held[class]+r.Int64N(8<<20)-r.Int64N(2<<20))) {
						o.Progress(now, progressBytes)
					}
				}
			case 3:
				if n := r.Int64N(4 << 20); class == Responses && b.Reserve(class, n, r.IntN(2) == 0) {
					reserved[class] = append(reserved[class], n)
				}
			case 4:
				if n := len(reserved[class]); n > 0 {
					b.Release(class, reserved[class][n-1])
					reserved[class] = reserved[class][:n-1]
				}
				if n := len(requests); n > 0 && r.IntN(2) == 0 {
					requests[n-1].Finish()
					requests[n-1].Release(Bodies)
					requests[n-1].ReleaseAll()
					requests = requests[:n-1]
				}
			}
			for c := range Connections {
				if b.used[c] < 0 || b.used[c] > b.limits[c].small {
					t.Fatalf("class %d occupies %d bytes", c, b.used[c])
				}
			}
			if float64(b.total) > totalShare*testMemory {
				t.Fatalf("%d bytes are occupied", b.total)
			}
		}
		for _, o := range requests {
			o.ReleaseAll()
		}
		for c, list := range reserved {
			for _, n := range list {
				b.Release(Class(c), n)
			}
		}
		if b.total != 0 || len(b.unfinished) != 0 || len(b.sources) != 0 {
			t.Errorf("%d bytes, %d requests and the sources %v remain", b.total, len(b.unfinished), b.sources)
		}
	})
}

// Guards against a crowd that fills the memory with bodies that it does not finish, so that nobody else is served; and
// against evicting those who still send.
func TestStalledBodiesGiveWay(t *testing.T) {
	b := NewBudget(testMemory)
	now := time.Unix(1, 0)
	evicted := map[string]int{}
	newBody := func(source string, size int64) (*Request, bool) {
		o := b.NewRequest(source, func() { evicted[source]++ })
		return o, o.Grow(now, Bodies, size)
	}
	single, _ := newBody("single", 1<<20)
	for range 60 {
		newBody("crowd", 1<<20)
	}
	if _, ok := newBody("ordinary", 1<<10); !ok {
		t.Error("a small body does not fit beside a crowd that has just sent")
	}
	now = now.Add(2 * stallTime)
	if _, ok := newBody("large", 8<<20); !ok {
		t.Error("a large body does not fit beside a crowd that has stalled")
	}
	if evicted["single"] > 0 || evicted["crowd"] == 0 {
		t.Errorf("evicted are %v, want the crowd only", evicted)
	}
	if !single.Finish() {
		t.Error("the body of a single client is gone")
	}
	finished, _ := newBody("finished", 1<<20)
	finished.Finish()
	now = now.Add(2 * stallTime)
	for range 60 {
		newBody("crowd", 1<<20)
	}
	if evicted["finished"] > 0 || evicted["single"] > 0 {
		t.Errorf("evicted are %v, also finished ones", evicted)
	}
}

// Guards against a crowd of clients that keep sending slowly, so that their requests do not stall, and that occupy all memory
// for heads or bodies; and against making the single clients pay.
func TestCrowdThatSendsSlowlyGivesWay(t *testing.T) {
	for _, class := range []Class{Heads, Bodies} {
		b := NewBudget(testMemory)
		now := time.Unix(1, 0)
		evicted := map[string]int{}
		newRequest := func(source string, size int64) (*Request, bool) {
			r := b.NewRequest(source, func() { evicted[source]++ })
			return r, r.Grow(now, class, size)
		}
		var crowd []*Request
		for ok := true; ok; {
			var r *Request
			now = now.Add(time.Millisecond)
			if r, ok = newRequest("crowd", 1<<20); ok {
				crowd = append(crowd, r)
			}
		}
		now = now.Add(stallTime / 2)
		for i := range 3 {
			if _, ok := newRequest(fmt.Sprint("single-", i), 1<<20); !ok {
				t.Errorf("class %d: single client %d finds no memory beside a crowd", class, i)
			}
		}
		if _, ok := newRequest("crowd", 1<<20); ok || evicted["crowd"] != 3 || len(evicted) != 1 {
			t.Errorf("class %d: the crowd grew %t, evicted are %v", class, ok, evicted)
		}
		if crowd[0].Finish() || !crowd[len(crowd)-1].Finish() {
			t.Errorf("class %d: the oldest request of the crowd was not evicted first", class)
		}
	}
}

// Guards against a client that holds memory for good by sending single bytes, and against one that sends more giving way to
// others of its address.
func TestSingleBytesAreNoProgress(t *testing.T) {
	b := NewBudget(testMemory)
	now := time.Unix(1, 0)
	slow, sound := b.NewRequest("source", func() {}), b.NewRequest("source", func() {})
	slow.Grow(now, Bodies, 12<<20)
	sound.Grow(now, Bodies, 12<<20)
	for range 20 {
		now = now.Add(stallTime / 10)
		slow.Progress(now, 1)
		sound.Progress(now, 1<<10)
	}
	if stalled, since := slow.Stalled(now); !stalled || !since.Equal(time.Unix(1, 0)) {
		t.Errorf("a client that sends single bytes has stalled %t since %v", stalled, since)
	}
	if !b.NewRequest("source", func() {}).Grow(now, Bodies, 5<<20) || !slow.Evicted() || !sound.Finish() {
		t.Errorf("the client of single bytes gave way %t, the other one %t", slow.Evicted(), sound.Evicted())
	}
}

// Guards against connections that take memory beside what the budget gives to requests.
func TestConnectionsLeaveLessForRequests(t *testing.T) {
	b := NewBudget(testMemory)
	now := time.Unix(1, 0)
	b.Charge(Connections, testMemory/2)
	if b.NewRequest("source", func() {}).Grow(now, Bodies, testMemory/5) {
		t.Error("a body fits beside connections that occupy half of the memory")
	}
	b.Release(Connections, testMemory/2)
	if !b.NewRequest("source", func() {}).Grow(now, Bodies, testMemory/5) {
		t.Error("a body does not fit after the connections have ended")
	}
}

// Guards against evicting others for a request that cannot fit, and against a request that cannot shrink because the memory
// of the process was reduced.
func TestRequestThatCannotFitEvictsNobody(t *testing.T) {
	b := NewBudget(testMemory)
	now := time.Unix(1, 0)
	other := b.NewRequest("other", func() { t.Error("a request was evicted in vain") })
	if !other.Grow(now, Bodies, 20<<20) {
		t.Fatal("a request does not fit")
	}
	now = now.Add(2 * stallTime)
	if b.NewRequest("too large", func() {}).Grow(now, Bodies, testMemory) {
		t.Error("a request beyond the limit fits")
	}
	b.SetMemory(testMemory / 100)
	if !other.Grow(now, Bodies, 19<<20) {
		t.Error("a request cannot shrink")
	}
}

func BenchmarkBody(b *testing.B) {
	budget := NewBudget(testMemory)
	now := time.Now()
	interrupt := func() {}
	b.ReportAllocs()
	for b.Loop() {
		o := budget.NewRequest("source", interrupt)
		o.Grow(now, Bodies, 4<<10)
		o.Progress(now, progressBytes)
		o.Finish()
		o.ReleaseAll()
	}
}
