package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Figures of the case: streams begin in each zone all the time, and the first zone loses power for downTime.
const (
	lostZone = "anand"
	downTime = 5 * time.Second
	// retries is how often a client tries again, as the sheet of gbfb-rota says.
	retries = 1
	// minTakeUps is the number of streams from which on the rule counts.
	minTakeUps = 12
)

// tally counts what the rule LOST compares.
type tally struct {
	mu                                sync.Mutex
	takeUps, wentOn, begun, newOnes   int
	broken, complete, unansweredFirst int
}

// zoneLoss: runners of two software versions serve side by side; the machines of one zone lose power. Clients take the
// streams that had begun there up at the machines of the other zones, which were not disturbed.
func zoneLoss(w *world) (bool, error) {
	two := [][2]string{{"decode", "v1"}, {"decode", "v2"}, {"prefill", "v1"}}
	err := w.build([]zonePlan{{lostZone, 3, two}, {"kheda", 1, two}, {"mehsana", 2, two}}, nil)
	if err != nil {
		return false, err
	}
	t := &tally{}
	var clients sync.WaitGroup
	began := time.Now()
	end := began.Add(stability + 3*time.Second + downTime + 2*time.Second)
	for _, z := range []struct {
		name string
		gap  time.Duration
	}{{lostZone, 100 * time.Millisecond}, {"kheda", 250 * time.Millisecond}, {"mehsana", 250 * time.Millisecond}} {
		clients.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				clients.Go(func() { w.streamClient(z.name, n, t) })
				time.Sleep(z.gap)
			}
		})
	}
	// All machines are in touch.
	time.Sleep(stability + 3*time.Second)
	if w.trouble {
		for _, d := range w.daemons {
			if d.zone == lostZone {
				d.powerOff()
			}
		}
		time.Sleep(downTime)
		for _, d := range w.daemons {
			if d.zone == lostZone {
				if err := d.start(w.dir); err != nil {
					return false, err
				}
			}
		}
	}
	clients.Wait()
	w.rec.say("at machines in touch: %d of %d new streams began; clients took up %d streams again, %d went on", t.begun, t.newOnes, t.takeUps, t.wentOn)
	w.rec.say("of all streams %d were complete, %d broke off", t.complete, t.broken)
	for version, n := range w.serving() {
		w.rec.say("runners of software version %s that serve: %d", version, n)
		if n < 2 {
			return false, fmt.Errorf("fewer than two runners of version %s serve", version)
		}
	}
	if !w.trouble {
		return t.broken > 0, nil
	}
	if t.takeUps < minTakeUps || t.newOnes < minTakeUps {
		return false, fmt.Errorf("only %d streams were taken up again", t.takeUps)
	}
	// LOST: the share that goes on is under half of the share of new streams that begin.
	return float64(t.wentOn)/float64(t.takeUps) < 0.5*float64(t.begun)/float64(t.newOnes), nil
}

// serving returns the number of model runners that may write streams, by software version.
func (w *world) serving() map[string]int {
	out := map[string]int{}
	for _, f := range w.runners {
		f.mu.Lock()
		if f.up && f.stage == "decode" {
			out[f.version]++
		}
		f.mu.Unlock()
	}
	return out
}

// streamClient is one client with one stream: it begins it, and takes it up again if it breaks off.
func (w *world) streamClient(zone string, n int, t *tally) {
	s := &streamState{deadline: time.Now().Add(8 * time.Second)}
	prompt := fmt.Sprintf("5c1e07a2:800,91bd3f%02x:410,%s%04x:250", n%20, "e4", n)
	dial := func() (c net.Conn, d *daemon, err error) { return w.balancer.connect(zone) }
	for try := 0; try <= retries; try++ {
		before := s.last
		takesUp := s.last > 0
		a := streamAttempt(dial, w.rec, prompt, s)
		inTouch := a.daemon != "" && (!w.trouble || zoneOf(w, a.daemon) != lostZone)
		t.mu.Lock()
		switch {
		case inTouch && takesUp:
			t.takeUps++
			if s.last > before {
				t.wentOn++
			}
		case inTouch:
			t.newOnes++
			if s.last > 0 {
				t.begun++
			}
		}
		if a.whole && s.last == shape.events {
			t.complete++
			t.mu.Unlock()
			return
		}
		t.mu.Unlock()
		if wait := min(a.retryAfter, time.Until(s.deadline)/3); wait > 0 {
			time.Sleep(wait)
		}
		if time.Now().After(s.deadline) {
			break
		}
	}
	t.mu.Lock()
	t.broken++
	t.mu.Unlock()
}

func zoneOf(w *world, name string) string {
	for _, d := range w.daemons {
		if d.name == name {
			return d.zone
		}
	}
	return ""
}
