package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bed is a small deployment: a store, runners and daemons on loopback addresses. Everything that it starts is ended by
// end.
type bed struct {
	folder, dir string
	// net is the begin of the addresses, such as "127.80.12.".
	net   string
	store *store

	mu      sync.Mutex
	record  *os.File
	procs   []*proc
	lines   []string
	nextTry int
}

// proc is a process that the bed has started.
type proc struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	args []string
	env  []string
}

func newBed(folder string) (*bed, error) {
	dir, err := os.MkdirTemp("", "drill3-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	b := &bed{folder: folder, dir: dir, record: record, net: fmt.Sprintf("127.%d.%d.", 64+os.Getpid()/250%128, os.Getpid()%250)}
	if b.store, err = newStore(b.net+"1:8142", 3600*time.Millisecond); err != nil {
		return nil, err
	}
	return b, nil
}

// note writes a line to the record.
func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%d %s\n", time.Now().UnixMilli(), fmt.Sprintf(format, args...))
}

// start starts a process whose output goes to a file of the temporary folder, or line by line to the record.
func (b *bed) start(name string, toRecord bool, env []string, args ...string) (*proc, error) {
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8"}, env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(filepath.Join(b.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd.Stderr = log
	if !toRecord {
		cmd.Stdout = log
	} else {
		out, err := cmd.StdoutPipe()
		if err != nil {
			return nil, err
		}
		go func() {
			for s := bufio.NewScanner(out); s.Scan(); {
				b.mu.Lock()
				fmt.Fprintln(b.record, s.Text())
				b.lines = append(b.lines, s.Text())
				b.mu.Unlock()
			}
		}()
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &proc{name: name, cmd: cmd, done: make(chan struct{}), args: args, env: env}
	go func() { _ = cmd.Wait(); close(p.done) }()
	b.mu.Lock()
	b.procs = append(b.procs, p)
	b.mu.Unlock()
	b.note("started %s", name)
	return p, nil
}

// kill ends a process with SIGKILL and waits for its end.
func (b *bed) kill(p *proc) {
	_ = p.cmd.Process.Kill()
	<-p.done
	b.note("killed %s", p.name)
}

func (b *bed) signal(p *proc, s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
	b.note("%s to %s", s, p.name)
}

// end ends all processes and removes the temporary folder.
func (b *bed) end() {
	for _, p := range b.procs {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	_ = b.store.server.Close()
	_ = b.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	}
}

// daemon is one daemon of the project.
type daemon struct {
	*proc
	name, ip string
}

func (d *daemon) front() string { return d.ip + ":8149" }

// startDaemon writes the settings of a daemon and starts it as the deploy file says.
func (b *bed) startDaemon(name, zone string, host int, first bool, extra string) (*daemon, error) {
	ip := fmt.Sprint(b.net, host)
	settings := fmt.Sprintf(`node_name: %q
role: "gateway"
machine_class: "front"
serves: ["front"]
ip: %q
zone: %q
region: "r"
zones: {"a": "r", "b": "r", "c": "r"}
listen_addrs: {front: "%s:8149", ready: "%s:8141"}
internal_ports: [7380, 7395]
seed_nodes: []
first_start: %t
limits: {cpu_share: 0.4, cpu_cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entry_point: "vip"
heartbeat_ms: 1200
contract_set: ["base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "platform"]
fault_tolerance: {machines: 1, zones: 1, regions: 0}
contract_params: {seed_lag_s: 3, addr_reuse_s: 2, stability_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, skew_max_ms: 5000, retry_budget_ratio: 0.2, budget_window_s: 10, retry_slack: 52, recovery_s: 12, transit_ms: 120, retry_after_s: 9.1, require_fence: false, lease_ms: 3000, thaw_slack_ms: 300%s}
platform: {address: %q, form: "log", writes_per_s: 400, reads_per_s: 2000, parts: 12, append_ms: 2.0, keep_s: 300, ttl_min_ms: 1000}
`, name, ip, zone, ip, ip, first, extra, b.store.address)
	path := filepath.Join(b.dir, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	p, err := b.start(name, false, []string{"BERGAMOTSILL_CONFIG=" + path}, "target/bergamotd", "gateway")
	if err != nil {
		return nil, err
	}
	return &daemon{proc: p, name: name, ip: ip}, nil
}

// startRunner starts a runner.
func (b *bed) startRunner(id string, host int, flags ...string) (*proc, error) {
	args := append([]string{os.Args[0], "runner", "-id", id, "-address", fmt.Sprintf("%s%d:8080", b.net, host), "-store", b.store.address}, flags...)
	return b.start(id, true, nil, args...)
}

// awaitReady waits until all daemons say that they are ready.
func (b *bed) awaitReady(daemons []*daemon, limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, d := range daemons {
			if r, err := client.Get("http://" + d.ip + ":8141/api/readiness"); err == nil {
				if _ = r.Body.Close(); r.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(daemons) {
			return true
		}
	}
	return false
}

// attemptID returns a new id of a client attempt.
func (b *bed) attemptID() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nextTry++
	return fmt.Sprintf("%08x%08x", os.Getpid(), b.nextTry)
}

// trouble reports whether the disruption is to be played.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// newHTTP returns a client that keeps connections.
func newHTTP(conns int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: conns, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
}

// post returns a request of a client.
func post(ctx context.Context, d *daemon, host, target, id, body string, deadline time.Duration) *http.Request {
	q, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.front()+target, strings.NewReader(body))
	q.Host = host
	q.Header.Set("X-Attempt-Id", id)
	q.Header.Set("X-Deadline-Remaining", fmt.Sprint(deadline.Milliseconds()))
	return q
}

// cannot reports that the case cannot run.
func (b *bed) cannot(err any) int {
	b.note("cannot run: %v", err)
	fmt.Println("cannot run:", err)
	return 2
}
