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
		var bodies []*Body
		reserved := [classCount][]int64{}
		for range 5000 {
			now = now.Add(time.Duration(r.IntN(100)) * time.Millisecond)
			class := Class(r.IntN(int(classCount)))
			switch r.IntN(5) {
			case 0:
				bodies = append(bodies, b.NewBody(now, fmt.Sprint(r.IntN(5)), func() {}))
			case 1, 2:
				if len(bodies) > 0 {
					o := bodies[r.IntN(len(bodies))]
					if o.Grow(now, o.held+r.Int64N(8<<20)) {
						o.Progress(now)
					}
				}
			case 3:
				if n := r.Int64N(4 << 20); class != Bodies && b.Reserve(class, n, r.IntN(2) == 0) {
					reserved[class] = append(reserved[class], n)
				}
			case 4:
				if n := len(reserved[class]); n > 0 {
					b.Release(class, reserved[class][n-1])
					reserved[class] = reserved[class][:n-1]
				}
				if n := len(bodies); n > 0 && r.IntN(2) == 0 {
					bodies[n-1].Finish()
					bodies[n-1].Release()
					bodies = bodies[:n-1]
				}
			}
			for c := range classCount {
				if b.used[c] < 0 || b.used[c] > b.limits[c].small {
					t.Fatalf("class %d occupies %d bytes", c, b.used[c])
				}
			}
			if float64(b.total) > totalShare*testMemory {
				t.Fatalf("%d bytes are occupied", b.total)
			}
		}
		for _, o := range bodies {
			o.Release()
		}
		for c, list := range reserved {
			for _, n := range list {
				b.Release(Class(c), n)
			}
		}
		if b.total != 0 || len(b.unfinished) != 0 {
			t.Errorf("%d bytes and %d bodies remain", b.total, len(b.unfinished))
		}
	})
}

// Guards against a crowd that fills the memory with bodies that it does not finish, so that nobody else is served; and
// against evicting those who still send.
func TestStalledBodiesGiveWay(t *testing.T) {
	b := NewBudget(testMemory)
	now := time.Unix(1, 0)
	evicted := map[string]int{}
	newBody := func(source string, size int64) (*Body, bool) {
		o := b.NewBody(now, source, func() { evicted[source]++ })
		return o, o.Grow(now, size)
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

func BenchmarkBody(b *testing.B) {
	budget := NewBudget(testMemory)
	now := time.Now()
	interrupt := func() {}
	b.ReportAllocs()
	for b.Loop() {
		o := budget.NewBody(now, "source", interrupt)
		o.Grow(now, 4<<10)
		o.Progress(now)
		o.Finish()
		o.Release()
	}
}
