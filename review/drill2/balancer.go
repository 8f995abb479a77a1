package main

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// balancer is the platform's address for the clients of all zones. It probes each daemon once a second, takes one out
// after two misses, and forwards each new connection to a daemon of the client's zone, or of another zone if the zone
// has none in rotation; see "Ingress" in PROTOCOL.md.
type balancer struct {
	daemons []*daemon
	rec     *recorder

	mu     sync.Mutex
	misses map[string]int
	next   int
}

func newBalancer(daemons []*daemon, rec *recorder) *balancer {
	b := &balancer{daemons: daemons, rec: rec, misses: map[string]int{}}
	for _, d := range daemons {
		b.misses[d.name] = 2
	}
	return b
}

// run probes until stop is closed.
func (b *balancer) run(stop chan struct{}) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		for _, d := range b.daemons {
			go b.probe(d)
		}
		select {
		case <-stop:
			return
		case <-t.C:
		}
	}
}

func (b *balancer) probe(d *daemon) {
	ok := false
	if !d.isDark() {
		c := http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
		if r, err := c.Get("http://" + d.readyAddress() + "/api/readiness"); err == nil {
			_ = r.Body.Close()
			ok = r.StatusCode == http.StatusOK
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.misses[d.name] < 2
	if ok {
		b.misses[d.name] = 0
	} else {
		b.misses[d.name]++
	}
	if after := b.misses[d.name] < 2; before != after {
		b.rec.add("balancer: daemon %s in rotation: %t", d.name, after)
	}
}

// ready returns the number of daemons in rotation.
func (b *balancer) ready() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, d := range b.daemons {
		if b.misses[d.name] < 2 {
			n++
		}
	}
	return n
}

// choose returns the daemon for a new connection of a client in a zone.
func (b *balancer) choose(zone string) *daemon {
	b.mu.Lock()
	defer b.mu.Unlock()
	var own, ownReady, othersReady []*daemon
	for _, d := range b.daemons {
		in := b.misses[d.name] < 2
		switch {
		case d.zone == zone:
			own = append(own, d)
			if in {
				ownReady = append(ownReady, d)
			}
		case in:
			othersReady = append(othersReady, d)
		}
	}
	list := ownReady
	switch {
	case len(ownReady) == 0 && len(othersReady) > 0:
		list = othersReady
	case 2*len(ownReady) < len(own):
		list = own
	}
	b.next++
	return list[b.next%len(list)]
}

// connect opens a connection for a client. Connections to a dark machine hang; those that were open fall silent.
func (b *balancer) connect(zone string) (net.Conn, *daemon, error) {
	d := b.choose(zone)
	if d.isDark() {
		time.Sleep(time.Second)
		return nil, d, errNoConnection
	}
	up, err := net.DialTimeout("tcp", d.frontAddress(), time.Second)
	if err != nil {
		return nil, d, err
	}
	client, inner := net.Pipe()
	go func() {
		_, _ = io.Copy(up, inner)
		_ = up.Close()
	}()
	go func() {
		_, _ = io.Copy(inner, up)
		if !d.isDark() {
			_ = inner.Close()
		}
	}()
	return client, d, nil
}
