// Command drill2 plays the cases of the second review that are scripts: it starts the daemons of the project as separate
// processes on loopback addresses, with small stand-ins of the store, the runners, the balancer and the clients that it
// holds itself, brings the trouble of a case, and checks the rule. It exits with 1 if the rule was broken, 0 if it held
// and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// stability is stability_ms.
const stability = 3 * time.Second

// world is one drill.
type world struct {
	root, dir string
	rec       *recorder
	trouble   bool
	store     *store
	address   string
	runners   []*runner
	daemons   []*daemon
	balancer  *balancer
	stop      chan struct{}
	base      int
}

// errCannotRun marks a drill that says nothing about the rule.
var errCannotRun = errors.New("the case could not run")

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: drill2 CASE ROOT RECORD")
		os.Exit(2)
	}
	cases := map[string]func(*world) (bool, error){"zone-loss": zoneLoss, "restart-in-place": restartInPlace}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case", os.Args[1])
		os.Exit(2)
	}
	os.Exit(runCase(play, os.Args[2], os.Args[3]))
}

func runCase(play func(*world) (bool, error), root, record string) int {
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "drill2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w := &world{root: root, dir: dir, rec: rec, trouble: os.Getenv("TROUBLE") != "0", stop: make(chan struct{})}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		w.close()
		os.Exit(2)
	}()
	broken, err := play(w)
	w.close()
	switch {
	case err != nil:
		rec.say("could not run: %v", err)
		return 2
	case broken:
		rec.say("RULE BROKEN")
		return 1
	}
	rec.say("the rule held")
	return 0
}

// close ends all processes that the drill started and removes its folder.
func (w *world) close() {
	select {
	case <-w.stop:
	default:
		close(w.stop)
	}
	for _, d := range w.daemons {
		d.stop()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs are in", w.dir)
	}
}

// command reads the command of the role from the deploy file.
func (w *world) command() ([]string, error) {
	data, err := os.ReadFile(filepath.Join(w.root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(data), "\n") {
		if name, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(name) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, fmt.Errorf("deploy file without a command")
}

// freePorts finds 40 ports in a row that are free on all given addresses.
func freePorts(ips []string) (int, error) {
	for base := 11000 + 40*(os.Getpid()%400); base < 32000; base += 40 {
		free := true
		for _, ip := range ips {
			for p := base; free && p < base+40; p++ {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return base, nil
		}
	}
	return 0, errors.New("no free ports")
}

// zonePlan says how many machines and which runners a zone has.
type zonePlan struct {
	name     string
	machines int
	// runners holds stage and version of each model runner.
	runners [][2]string
}

// build starts the store, the runners and the daemons, and waits until all daemons are in rotation.
func (w *world) build(zones []zonePlan, route map[string]any) error {
	command, err := w.command()
	if err != nil {
		return err
	}
	if _, err := os.Stat(filepath.Join(w.root, command[0])); err != nil {
		return fmt.Errorf("%v: build with the deploy file first", err)
	}
	var ips, names []string
	machines := 0
	for _, z := range zones {
		names = append(names, z.name)
		for range z.machines {
			machines++
			ips = append(ips, fmt.Sprintf("127.0.11.%d", machines))
		}
	}
	const shared = "127.0.12.1"
	base, err := freePorts(append([]string{shared}, ips...))
	if err != nil {
		return err
	}
	w.base, w.address = base, fmt.Sprintf("%s:%d", shared, base)
	if w.store, err = startStore(w.address); err != nil {
		return err
	}
	w.store.put("keyed.op", "config", configuration(1, route))
	next := base + 1
	add := func(f *runner) error {
		f.address, f.store, f.rec = fmt.Sprintf("%s:%d", shared, next), w.store, w.rec
		next++
		byAddress[f.address] = f
		w.runners = append(w.runners, f)
		return f.start()
	}
	for _, z := range zones {
		for i, r := range z.runners {
			f := &runner{id: fmt.Sprintf("i-%s-%d", z.name, i+1), service: "llm", zone: z.name, stage: r[0], version: r[1]}
			if err := add(f); err != nil {
				return err
			}
		}
		if err := add(&runner{id: "i-" + z.name + "-app", service: "app", zone: z.name, version: "v1"}); err != nil {
			return err
		}
	}
	ports := portSet{front: base, ready: base + 1, control: base + 2, internal: base + 10}
	i := 0
	for _, z := range zones {
		for n := range z.machines {
			d := &daemon{name: fmt.Sprintf("front-%s-%d", z.name, n+1), zone: z.name, ip: ips[i], ports: ports, command: command, root: w.root, rec: w.rec}
			i++
			w.daemons = append(w.daemons, d)
			if err := d.writeSettings(w.dir, w.address, names, true); err != nil {
				return err
			}
			if err := d.start(w.dir); err != nil {
				return err
			}
			// A restart is not the first start.
			if err := d.writeSettingsLater(w.dir, w.address, names); err != nil {
				return err
			}
		}
	}
	w.balancer = newBalancer(w.daemons, w.rec)
	go w.balancer.run(w.stop)
	for deadline := time.Now().Add(15 * time.Second); w.balancer.ready() < len(w.daemons); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d daemons became ready", w.balancer.ready(), len(w.daemons))
		}
	}
	w.rec.say("%d daemons and %d runners are ready", len(w.daemons), len(w.runners))
	return nil
}

// configuration is what the operator writes, with the figures of gbfb-rota.
func configuration(version int, stream map[string]any) map[string]any {
	route := map[string]any{
		"name": "r-digest", "host": siteHost, "path_prefix": streamPrefix, "kind": "stream", "service": "llm", "timeout_ms": 8000,
		"target_latency_ms": 800, "priority": 0, "max_attempts": 2, "sticky": true, "resumable": true, "target_gap_ms": 300,
	}
	for k, v := range stream {
		route[k] = v
	}
	return map[string]any{
		"version": version,
		"routes": []any{route, map[string]any{
			"name": "r-confirm", "host": siteHost, "path_prefix": unsafePrefix, "kind": "unsafe", "service": "app", "timeout_ms": 1500,
			"target_latency_ms": 300, "priority": 2, "max_attempts": 1, "sticky": false, "resumable": false,
		}},
		"services": []any{
			map[string]any{"name": "llm", "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": runnerSlots, "kv_capacity_tokens": 403610, "kv_token_bytes": 18432, "link_mbps": 740000.0, "migrations": true,
				"replicas": true, "stride": 12, "most": 12, "kv_hold_s": 5.0, "reconfig_s": 3.0, "pin_ms": 4000.0, "hold_ms": 2000.0,
				"models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": "app", "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
