package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

var threeZones = plainServices("anand", "kheda", "mehsana")

// loadRate is the number of requests a second to the service.
const loadRate = 18

// playLookupCrash plays a lookup (a GET without a body) that crashes each runner that begins to run it
// and that its caller sends again. It judges BUDGET.
func playLookupCrash(rec *recorder, folder string, trouble bool) (bool, error) {
	const (
		// every is the time between two requests of the caller, lasts how long it sends them.
		every = 2500 * time.Millisecond
		lasts = 40 * time.Second
	)
	w, err := newWorld(rec, folder, threeZones)
	defer w.stop()
	if err != nil {
		return false, err
	}
	if trouble {
		for _, r := range w.runners {
			r.crashes = func(h *http.Request) bool { return strings.HasSuffix(h.URL.Path, crashingSuffix) }
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.load(ctx, loadRate)
	time.Sleep(5 * time.Second)
	caller := w.newClient()
	caller.http.Transport.(*http.Transport).DisableKeepAlives = true
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(every) {
		const path = lookupPrefix + "slot" + crashingSuffix
		i := rand.IntN(len(w.daemons))
		if caller.send(w.daemons[i], http.MethodGet, path, "") != http.StatusOK {
			// The client repeats a lookup once, at another machine.
			j := (i + 1 + rand.IntN(len(w.daemons)-1)) % len(w.daemons)
			caller.send(w.daemons[j], http.MethodGet, path, "")
		}
	}
	cancel()
	w.clients.Wait()
	if err := w.check(); err != nil {
		return false, err
	}
	return judgeCrashing(w), nil
}

// crashingSuffix ends the path of the crashing request.
const crashingSuffix = "/tank-17"

func judgeCrashing(w *world) bool {
	var crashes []time.Time
	for _, r := range w.runners {
		crashes = append(crashes, r.crashedAt...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	w.record.say("%d crashes of runners", len(crashes))
	if len(crashes) < 3 {
		return false
	}
	from := crashes[2].Add(stability)
	w.record.say("the third at %.3f s; judged are attempts sent later than %.3f s", w.record.since(crashes[2]), w.record.since(from))
	attempts, arrivals := map[string]bool{}, 0
	for _, r := range w.runners {
		for _, a := range r.arrivalsSnapshot() {
			sender := w.find(a.attempt)
			if sender == nil || !strings.HasSuffix(sender.path, crashingSuffix) || !sender.sent.After(from) {
				continue
			}
			arrivals++
			attempts[a.attempt] = true
			w.record.log("judge: attempt %s, sent at %.3f s to %s, reached runner %s at %.3f s", a.attempt, w.record.since(sender.sent), sender.daemon.name, r.id, w.record.since(a.at))
		}
	}
	w.record.say("%d attempts later than that reached runners, %d times in all; three are allowed", len(attempts), arrivals)
	return len(attempts) > 3
}

// playLateEntry plays a runner that leaves without reporting draining, while an earlier heartbeat of
// it, which got no response, is executed late by the store. It judges DRAIN.
func playLateEntry(rec *recorder, folder string, trouble bool) (bool, error) {
	w, err := newWorld(rec, folder, threeZones)
	defer w.stop()
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.load(ctx, loadRate)
	leaving := w.runners[0]
	time.Sleep(6 * time.Second)
	if trouble {
		leaving.mu.Lock()
		leaving.loseNextBeat = true
		leaving.mu.Unlock()
	}
	const lateness = 5 * time.Second
	for deadline := time.Now().Add(2 * heartbeatInterval); trouble && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		leaving.mu.Lock()
		lost := leaving.lateBeat != nil
		leaving.mu.Unlock()
		if lost {
			break
		}
	}
	time.Sleep(lateness)
	leaving.mu.Lock()
	leaving.removed = true
	late := leaving.lateBeat
	leaving.mu.Unlock()
	gone := w.store.put(topicRunners, leaving.id, nil)
	rec.log("runner %s leaves: the store acknowledges the removal of its entry at %.3f s; it serves on for 9 s", leaving.id, rec.since(gone))
	if late != nil {
		time.Sleep(150 * time.Millisecond)
		at := w.store.put(topicRunners, leaving.id, late)
		rec.log("store: the lost heartbeat of %s is executed at %.3f s", leaving.id, rec.since(at))
	}
	time.Sleep(9 * time.Second)
	leaving.exit()
	time.Sleep(3 * time.Second)
	cancel()
	w.clients.Wait()
	if err := w.check(); err != nil {
		return false, err
	}
	broken := 0
	for _, a := range leaving.arrivalsSnapshot() {
		if s := w.find(a.attempt); s != nil && s.sent.After(gone.Add(drain)) {
			broken++
			rec.log("judge: attempt %s, sent at %.3f s to %s, reached runner %s at %.3f s", a.attempt, rec.since(s.sent), s.daemon.name, leaving.id, rec.since(a.at))
		}
	}
	rec.say("%d requests that clients sent later than %s after the removal reached the runner that left", broken, drain)
	return broken > 0, nil
}

// playQuietLapse plays a runner that asks for no requests for a while and whose entry lapses
// meanwhile, because the runner does not reach the store for some seconds. It judges BUDGET.
func playQuietLapse(rec *recorder, folder string, trouble bool) (bool, error) {
	w, err := newWorld(rec, folder, plainServices("anand", "anand", "kheda", "mehsana", "mehsana"))
	defer w.stop()
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.load(ctx, loadRate)
	time.Sleep(5 * time.Second)
	const (
		quiet   = 20 * time.Second
		cutTime = 5 * time.Second
	)
	busy := w.runners[0]
	busy.mu.Lock()
	busy.turnAwayUntil, busy.retryAfter = time.Now().Add(1500*time.Millisecond), quiet
	busy.mu.Unlock()
	time.Sleep(2 * time.Second)
	if trouble {
		busy.mu.Lock()
		busy.storeCut = true
		busy.mu.Unlock()
		rec.log("runner %s is cut off from the store for %s; all else reaches it", busy.id, cutTime)
	}
	time.Sleep(cutTime)
	if trouble {
		busy.mu.Lock()
		busy.storeCut = false
		busy.mu.Unlock()
		busy.sendBeat()
		rec.log("runner %s reaches the store again", busy.id)
	}
	time.Sleep(10 * time.Second)
	cancel()
	w.clients.Wait()
	if err := w.check(); err != nil {
		return false, err
	}
	return judgeQuiet(w, busy, quiet), nil
}

func judgeQuiet(w *world, r *runner, quiet time.Duration) bool {
	const settle = 500 * time.Millisecond
	first := map[string]time.Time{}
	turnedAway := append([]arrival(nil), r.turnedAway...)
	for _, a := range turnedAway {
		name := w.find(a.attempt).daemon.name
		if _, ok := first[name]; !ok {
			first[name] = a.at
		}
	}
	worst, machines := 0, 0
	for name, at := range first {
		n := 0
		for _, a := range r.arrivalsSnapshot() {
			s := w.find(a.attempt)
			if s != nil && s.daemon.name == name && a.at.After(at.Add(settle)) && a.at.Before(at.Add(quiet)) {
				n++
				w.record.log("judge: attempt %s reached %s from %s at %.3f s; 503 with Retry-After %.0f was answered to that machine at %.3f s", a.attempt, r.id, name, w.record.since(a.at), quiet.Seconds(), w.record.since(at))
			}
		}
		if n > 2 {
			machines++
		}
		worst = max(worst, n)
	}
	w.record.say("%d machines were asked for no requests; up to %d requests of one of them reached the runner meanwhile; more than two came from %d machines", len(first), worst, machines)
	return machines > 0
}
