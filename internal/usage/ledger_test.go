package usage

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/seedtest"
)

// Guards against windows that do not begin at multiples of their length since 1970.
func TestWindows(t *testing.T) {
	w := Windows{Length: 5 * time.Second}
	at := time.UnixMilli(353445120*5000 + 4999)
	if k := w.At(at); k != 353445120 || !w.End(k).Equal(at.Add(time.Millisecond)) {
		t.Errorf("window %d ends at %v", k, w.End(k))
	}
}

// Guards against sums that depend on how often and in which order reports arrive, and against windows that a report from
// the future displaces.
func TestTotalsDoNotDependOnTheOrderOfReports(t *testing.T) {
	seedtest.Run(t, func(t *testing.T, seed uint64) {
		r := rand.New(rand.NewPCG(seed, 0))
		const daemons, requests, window = 5, 200, 100
		holder := NewLedger(Source{Daemon: "holder", Started: 1})
		want := Counts{}
		var ledgers []*Ledger
		for i := range daemons {
			ledgers = append(ledgers, NewLedger(Source{Daemon: fmt.Sprint("d", i%3), Started: int64(i)}))
		}
		var sent [][]Report
		for range requests {
			l := ledgers[r.IntN(daemons)]
			organisation := fmt.Sprint("o", r.IntN(4))
			l.Count(window, organisation)
			want[organisation]++
			sent = append(sent, l.Own(window))
		}
		for _, l := range ledgers {
			sent = append(sent, l.Own(window), []Report{{Source: l.own, Window: window + keptWindows, Counts: Counts{"o0": 1}}})
		}
		for _, i := range r.Perm(len(sent)) {
			holder.Merge(window, sent[i])
			holder.Merge(window, sent[i])
		}
		if got := holder.Total(window); !reflect.DeepEqual(got, want) {
			t.Errorf("total is %v, want %v", got, want)
		}
	})
}

// Guards against memory that grows with the time that a daemon runs.
func TestOldWindowsAreForgotten(t *testing.T) {
	l := NewLedger(Source{Daemon: "d"})
	for k := range int64(100) {
		l.Count(k, "o")
	}
	l.Count(1, "o")
	if len(l.windows) != keptWindows {
		t.Errorf("%d windows are kept, want %d", len(l.windows), keptWindows)
	}
}

func BenchmarkCount(b *testing.B) {
	l := NewLedger(Source{Daemon: "d"})
	b.ReportAllocs()
	for b.Loop() {
		l.Count(7, "organisation")
	}
}
