package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// maxJoined is the number of streams that the rule ORDER lets hold events of two software versions.
const maxJoined = 2

// downTimes are how long a runner is away after each of its crashes.
var downTimes = []time.Duration{1500 * time.Millisecond, 2000 * time.Millisecond, 2500 * time.Millisecond, 3000 * time.Millisecond, 3500 * time.Millisecond}

// roundTime is the time from one crash to the next.
const roundTime = 9 * time.Second

// restartInPlace: runners of several software versions serve side by side. One after another crashes and is back under its
// id some seconds later, with another software version. It registers itself the moment it listens.
func restartInPlace(w *world) (bool, error) {
	err := w.build([]zonePlan{
		{"anand", 3, [][2]string{{"decode", "v1"}, {"prefill", "v1"}}},
		{"kheda", 1, [][2]string{{"decode", "v2"}, {"prefill", "v1"}}},
		{"mehsana", 2, [][2]string{{"decode", "v3"}, {"prefill", "v1"}}},
	}, nil)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	streams, joined := 0, 0
	var clients sync.WaitGroup
	end := time.Now().Add(stability + time.Duration(len(downTimes))*roundTime)
	for _, zone := range []string{"anand", "kheda", "mehsana"} {
		clients.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				clients.Go(func() {
					versions := w.orderClient(zone, n)
					mu.Lock()
					defer mu.Unlock()
					streams++
					if len(versions) > 1 {
						joined++
						w.rec.add("client: a stream holds events of the versions %s", strings.Join(versions, ", "))
					}
				})
				time.Sleep(125 * time.Millisecond)
			}
		})
	}
	var decoders []*runner
	for _, f := range w.runners {
		if f.stage == "decode" {
			decoders = append(decoders, f)
		}
	}
	time.Sleep(stability)
	for i, down := range downTimes {
		began := time.Now()
		f := decoders[i%len(decoders)]
		if w.trouble {
			f.crash()
			time.Sleep(down)
			f.mu.Lock()
			f.version = fmt.Sprintf("v%d", i+len(decoders)+1)
			f.mu.Unlock()
			if err := f.start(); err != nil {
				return false, err
			}
		}
		time.Sleep(roundTime - time.Since(began))
		mu.Lock()
		w.rec.say("round %d: runner %s was away for %v; of %d streams, %d hold events of two versions", i+1, f.id, down, streams, joined)
		mu.Unlock()
	}
	clients.Wait()
	w.rec.say("of %d streams, %d hold events of runners of two software versions", streams, joined)
	if streams < 100 {
		return false, fmt.Errorf("only %d streams", streams)
	}
	return joined > maxJoined, nil
}

// orderClient is one client with one stream; it returns the versions whose events it holds.
func (w *world) orderClient(zone string, n int) []string {
	s := &streamState{deadline: time.Now().Add(8 * time.Second)}
	prompt := fmt.Sprintf("5c1e07a2:800,91bd3f%02x:410,%s%04x:250", n%20, "e4", n)
	dial := func() (c net.Conn, d *daemon, err error) { return w.balancer.connect(zone) }
	for try := 0; try <= retries && time.Now().Before(s.deadline); try++ {
		a := streamAttempt(dial, w.rec, prompt, s)
		if a.whole && s.last == shape.events {
			break
		}
		if wait := min(a.retryAfter, time.Until(s.deadline)/3); wait > 0 {
			time.Sleep(wait)
		}
	}
	return s.versions
}
