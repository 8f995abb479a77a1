package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ports of a daemon; the same on all machines of a drill.
type portSet struct{ front, ready, control, internal int }

// daemon is one machine with a process of the project, started with the command of the deploy file.
type daemon struct {
	name, zone, ip string
	ports          portSet
	settings       string
	command        []string
	root           string
	rec            *recorder

	mu  sync.Mutex
	cmd *exec.Cmd
	// dark is set while the machine has no power.
	dark  bool
	ended chan struct{}
}

func (d *daemon) frontAddress() string { return fmt.Sprintf("%s:%d", d.ip, d.ports.front) }
func (d *daemon) readyAddress() string { return fmt.Sprintf("%s:%d", d.ip, d.ports.ready) }

// writeSettings writes the settings file as the platform would; see DEPLOY.md.
func (d *daemon) writeSettings(dir, storeAddress string, zones []string, firstStart bool) error {
	var zoneLines strings.Builder
	for _, z := range zones {
		fmt.Fprintf(&zoneLines, "  %s: \"guj-west\"\n", z)
	}
	text := fmt.Sprintf(`node_name: %q
role: "gateway"
machine_class: "front"
serves:
  - "front"
ip: %q
zone: %q
region: "guj-west"
zones:
%slisten_addrs:
  front: "%s:%d"
  ready: "%s:%d"
internal_ports:
  - %d
  - %d
seed_nodes: []
first_start: %t
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
`, d.name, d.ip, d.zone, zoneLines.String(), d.ip, d.ports.front, d.ip, d.ports.ready, d.ports.internal, d.ports.internal+15, firstStart, storeAddress)
	d.settings = filepath.Join(dir, d.name+".yaml")
	return os.WriteFile(d.settings, []byte(text), 0o644)
}

// writeSettingsLater changes the settings to those of a restart, once the process has read the first ones.
func (d *daemon) writeSettingsLater(dir, storeAddress string, zones []string) error {
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if data, err := os.ReadFile(filepath.Join(dir, d.name+".log")); err == nil && strings.Contains(string(data), "daemon started") {
			return d.writeSettings(dir, storeAddress, zones, false)
		}
	}
	return fmt.Errorf("daemon %s has not started", d.name)
}

// start starts the process.
func (d *daemon) start(dir string) error {
	out, err := os.OpenFile(filepath.Join(dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	c := exec.Command(filepath.Join(d.root, d.command[0]), d.command[1:]...)
	c.Dir, c.Stdout, c.Stderr = d.root, out, out
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BERGAMOTSILL_CONFIG=" + d.settings}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	d.cmd, d.dark, d.ended = c, false, make(chan struct{})
	ended := d.ended
	d.mu.Unlock()
	d.rec.add("daemon %s starts, process %d", d.name, c.Process.Pid)
	go func() {
		err := c.Wait()
		d.rec.add("daemon %s: its process %d has ended: %v", d.name, c.Process.Pid, err)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(s)
	}
}

// powerOff ends the process without notice and marks the machine as dark.
func (d *daemon) powerOff() {
	d.mu.Lock()
	d.dark = true
	d.mu.Unlock()
	d.rec.say("daemon %s loses power", d.name)
	d.signal(syscall.SIGKILL)
	<-d.ended
}

func (d *daemon) isDark() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dark
}

// stop ends the process if it runs.
func (d *daemon) stop() {
	d.mu.Lock()
	c, ended := d.cmd, d.ended
	d.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Kill()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
	}
}
