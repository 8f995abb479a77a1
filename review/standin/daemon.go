package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Bounds of the rules, as SYSTEM.md states them for the Feed Board.
const (
	stability = 3000 * time.Millisecond
	drain     = 2000 * time.Millisecond
)

// settingsFormat has the fields of the platform's settings file (DEPLOY.md) with the figures of the
// Feed Board.
const settingsFormat = `node_name: %q
role: "gateway"
machine_class: "front"
serves:
  - "front"
ip: "127.0.0.1"
zone: %q
region: "guj-west"
zones:
  anand: "guj-west"
  kheda: "guj-west"
  mehsana: "guj-west"
listen_addrs:
  front: "127.0.0.1:%d"
  ready: "127.0.0.1:%d"
internal_ports:
  - %d
  - %d
seed_nodes: []
first_start: true
fault_counted: false
limits:
  cpu_share: 0.4
  cpu_cores: 1
  memory_mb: 284
  max_fds: 4100
  link_mbps: 1000.0
  disk_mb: 0
data_dir: null
discovery: "platform"
entry_point: "vip"
heartbeat_ms: 1200
fault_tolerance:
  machines: 1
  zones: 1
  regions: 0
contract_params:
  seed_lag_s: 3
  addr_reuse_s: 2
  stability_ms: 3000
  ack_ms: 4000
  catch_up_s: 4
  drain_ms: 2000
  grace_s: 8
  loss_slack_ms: 200
  config_apply_ms: 2000
  rollback_slack_ms: 250
  skew_max_ms: 5000
  retry_budget_ratio: 0.2
  budget_window_s: 10
  retry_slack: 52
  recovery_s: 12
  transit_ms: 120
  retry_after_s: 9.1
  require_fence: false
  lease_ms: 3000
  thaw_slack_ms: 300
platform:
  address: %q
  form: "log"
  writes_per_s: 400
  reads_per_s: 2000
  parts: 12
  append_ms: 2.0
  partition_mb_s: 20.0
  read_mb_s: 80.0
  max_record_bytes: 262144
  max_call_bytes: 2097152
  keep_s: 300
  partition_mb: 200
  ttl_min_ms: 1000
`

// daemon is a process of the system.
type daemon struct {
	name, zone   string
	front, ready string
	// settings and log are the paths of the settings file and of the log.
	settings, log string
	process       *exec.Cmd
	exited        chan struct{}
}

// freePorts returns the first of n consecutive free ports. They lie below the range from which the
// system takes the ports of outgoing connections, which could take them before the daemon does.
func freePorts(n int) (int, error) {
	const lowest, highest = 15000, 32000
	for range 200 {
		first := lowest + rand.IntN(highest-lowest-n)
		if allFree(first, n) {
			return first, nil
		}
	}
	return 0, errors.New("no consecutive free ports")
}

func allFree(first, n int) bool {
	for port := first; port < first+n; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// startDaemon starts a daemon with the command of the deploy file.
func startDaemon(name, zone, storeAddress, folder string) (*daemon, error) {
	first, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	d := &daemon{
		name: name, zone: zone, front: fmt.Sprintf("127.0.0.1:%d", first), ready: fmt.Sprintf("127.0.0.1:%d", first+1),
		settings: filepath.Join(folder, name+".yaml"), log: filepath.Join(folder, name+".log"),
	}
	text := fmt.Sprintf(settingsFormat, name, zone, first, first+1, first+2, first+3, storeAddress)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return d, d.start()
}

func (d *daemon) start() error {
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p := exec.Command("target/bergamotd", "gateway")
	p.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BERGAMOTSILL_CONFIG=" + d.settings}
	p.Stdout, p.Stderr = log, log
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.process, d.exited = p, exited
	go func() {
		_ = p.Wait()
		close(exited)
	}()
	return nil
}

// isReady performs the readiness check of the platform.
func (d *daemon) isReady() bool {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	r, err := client.Get("http://" + d.ready + "/api/readiness")
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// alive reports whether the process runs.
func (d *daemon) alive() bool {
	select {
	case <-d.exited:
		return false
	default:
		return true
	}
}

// stop kills the process and waits for its end.
func (d *daemon) stop() {
	_ = d.process.Process.Kill()
	<-d.exited
}
