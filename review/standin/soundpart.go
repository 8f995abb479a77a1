package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// taintedCaller holds the parts of the prompts of one caller. The deadly part crashes each engine that
// begins to write an answer on it; the others are sound.
type taintedCaller struct{ first, second, deadly, sound string }

// taintedCallers have such a part one after the other, each for as long as the page's day has one.
var taintedCallers = []taintedCaller{
	{"5586da3a4a4b", "9abecbb9f997", "40d043273798", "699218315fd6"},
	{"989c61a159ce", "dbeae0b305ee", "2c35441a213e", "317a0ad5101b"},
}

// enginePlaces returns the places of the Feed Board's 9 engines, 4 of them decode engines.
func enginePlaces() []place {
	var out []place
	for _, zone := range []string{"anand", "kheda", "mehsana"} {
		for i, stage := range []string{stageDecode, stagePrefill, stagePrefill} {
			if zone == "anand" && i == 1 {
				stage = stageDecode
			}
			out = append(out, place{zone, engineService, stage})
		}
	}
	return out
}

func (c taintedCaller) prompt(third string, n int) *prompt {
	return &prompt{parts: []string{c.first, c.second, third, fmt.Sprintf("e0%x", n)}, tokens: []int{3000, 1382, 1000, 9400}, outputs: 32}
}

// playSoundPart plays a part of prompts that crashes engines, beside sound requests that share the
// first two parts. It judges LOST.
func playSoundPart(rec *recorder, folder string, trouble bool) (bool, error) {
	w, err := newWorld(rec, folder, enginePlaces())
	defer w.stop()
	if err != nil {
		return false, err
	}
	if trouble {
		for _, r := range w.runners {
			r.crashes = func(h *http.Request) bool {
				return slices.ContainsFunc(taintedCallers, func(c taintedCaller) bool {
					return strings.Contains(h.Header.Get("X-Prompt-Prefix"), c.deadly+":")
				})
			}
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.queries(ctx, 16)
	broken := false
	for i, c := range taintedCallers {
		// Before the second part comes, all engines are back for twice stability.
		time.Sleep(3*time.Second + time.Duration(i)*2*stability)
		if broken = playTainted(w, c); broken {
			break
		}
	}
	cancel()
	w.clients.Wait()
	return broken, w.check()
}

// playTainted sends sound requests of a caller, and after a while also deadly ones, and reports whether
// LOST was broken.
func playTainted(w *world, c taintedCaller) bool {
	const (
		// soundEvery is the time between two clumps of sound requests of the caller, deadlyEvery that
		// between two deadly requests, of which the first three come together.
		soundEvery  = 2160 * time.Millisecond
		soundClump  = 4
		deadlyClump = 3
		deadlyEvery = 3 * time.Second
		calm        = 8 * soundEvery
		tainted     = 22 * time.Second
	)
	begin := time.Now()
	deadlyFrom := begin.Add(calm + 700*time.Millisecond)
	caller := w.newClient()
	var sound []*attempt
	var requests sync.WaitGroup
	deadly := deadlyClump
	nextSound, nextDeadly := begin, deadlyFrom
	for n := 0; time.Since(deadlyFrom) < tainted; n++ {
		if nextDeadly.Before(nextSound) {
			time.Sleep(time.Until(nextDeadly))
			nextDeadly = nextDeadly.Add(deadlyEvery)
			for i := range deadly {
				requests.Go(func() { sendDeadly(w, caller, c, 1000*i+n) })
			}
			deadly = 1
			continue
		}
		time.Sleep(time.Until(nextSound))
		nextSound = nextSound.Add(soundEvery)
		for i := range soundClump {
			a := newAttempt(w.daemons[rand.IntN(len(w.daemons))], digestPrefix, c.prompt(c.sound, 1000*i+n))
			sound = append(sound, a)
			requests.Go(func() { caller.sendAttempt(a, http.MethodPost, fmt.Sprintf("digest %d", 1000*i+n)) })
		}
	}
	requests.Wait()
	// Such requests came until the last one was sent.
	return judgeSound(w, sound, deadlyFrom, nextDeadly.Add(-deadlyEvery))
}

// sendDeadly sends a request with the deadly part; its client repeats it once, at another machine.
func sendDeadly(w *world, client *client, c taintedCaller, n int) {
	i := rand.IntN(len(w.daemons))
	body := fmt.Sprintf("digest %d", n)
	if client.sendPrompt(w.daemons[i], http.MethodPost, digestPrefix, body, c.prompt(c.deadly, n)) != http.StatusOK {
		j := (i + 1 + rand.IntN(len(w.daemons)-1)) % len(w.daemons)
		client.sendPrompt(w.daemons[j], http.MethodPost, digestPrefix, body, c.prompt(c.deadly, n))
	}
}

func judgeSound(w *world, sound []*attempt, deadlyFrom, end time.Time) bool {
	var crashes []time.Time
	for _, r := range w.runners {
		crashes = append(crashes, r.crashesSince(deadlyFrom)...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	w.record.say("%d crashes of engines", len(crashes))
	from := deadlyFrom
	if len(crashes) > 0 {
		from = crashes[min(len(crashes), 5)-1]
		w.record.say("the first at %.3f s, the fifth (or last) at %.3f s", w.record.since(crashes[0]), w.record.since(from))
	}
	from = from.Add(2 * stability)
	var calm, calmBegun, late, lateBegun int
	for _, a := range sound {
		begun := w.hasRun(a.id)
		switch {
		case a.sent.Before(deadlyFrom):
			calm++
			calmBegun += count(begun)
		case a.sent.After(from) && a.sent.Before(end):
			late++
			lateBegun += count(begun)
			w.record.log("judge: sound attempt %s, sent at %.3f s to %s: begun %t, status %d", a.id, w.record.since(a.sent), a.daemon.name, begun, a.status)
		}
	}
	w.record.say("sound requests with the first part that began at the first attempt: %d of %d before the disruption, %d of %d later than %.3f s", calmBegun, calm, lateBegun, late, w.record.since(from))
	if calm < 20 || late < 20 {
		w.record.say("too few requests to judge")
		return false
	}
	return float64(lateBegun)/float64(late) < 0.5*float64(calmBegun)/float64(calm)
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}
