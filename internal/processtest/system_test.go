package processtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/porttest"
	"bergamotsill.example/bergamotsill/internal/refusal"
	"bergamotsill.example/bergamotsill/internal/settings"
)

// awaitTimeout fails a test that hangs. Apart from that, no test result depends on how
// long an operation takes.
const awaitTimeout = 60 * time.Second

// binaryDir is the directory of the built programs.
var binaryDir string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "bergamot-processtest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir, "../../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	binaryDir = dir
	return m.Run()
}

// system is a set of processes that listen on loopback addresses.
type system struct {
	t         *testing.T
	dir       string
	processes map[string]*exec.Cmd
	addresses map[string]string
	vms       []port.VM
	client    *http.Client
}

func newSystem(t *testing.T) *system {
	s := &system{
		t:         t,
		dir:       t.TempDir(),
		processes: map[string]*exec.Cmd{},
		addresses: map[string]string{},
		client:    &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second},
	}
	t.Cleanup(s.close)
	return s
}

// close kills all processes and prints their logs if the test failed.
func (s *system) close() {
	for name := range s.processes {
		s.signal(name, syscall.SIGKILL)
		s.signal(name, syscall.SIGCONT)
		_ = s.processes[name].Wait()
	}
	if s.t.Failed() {
		s.printLogs()
	}
}

// printLogs logs the end of each process's output.
func (s *system) printLogs() {
	const shown = 2000
	logs, _ := filepath.Glob(filepath.Join(s.dir, "*.log"))
	for _, path := range logs {
		data, _ := os.ReadFile(path)
		s.t.Logf("%s:\n%s", filepath.Base(path), data[max(0, len(data)-shown):])
	}
}

// freeAddress assigns an unused loopback address to a name and returns it.
func (s *system) freeAddress(name string) string {
	s.t.Helper()
	if port := porttest.Processes.Free(1); port > 0 {
		s.addresses[name] = fmt.Sprintf("127.0.0.1:%d", port)
		return s.addresses[name]
	}
	s.t.Fatal("no port is free")
	return ""
}

// start runs a program and appends its output to a log file.
func (s *system) start(name, program string, args ...string) {
	s.t.Helper()
	log, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(binaryDir, program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.processes[name] = cmd
}

// signal sends a signal to a process that the test started.
func (s *system) signal(name string, sig syscall.Signal) {
	// The process may have exited already.
	_ = s.processes[name].Process.Signal(sig)
}

// kill kills a process and waits for its exit.
func (s *system) kill(name string) {
	s.signal(name, syscall.SIGKILL)
	_ = s.processes[name].Wait()
}

// startPlatform starts the platform with the VMs added so far and waits until it responds.
func (s *system) startPlatform() {
	path := filepath.Join(s.dir, "vms.json")
	s.writeJSON(path, s.vms)
	s.start("platform", "bergamot-standin", "platform", "--listen", s.freeAddress("platform"), "--vms", path)
	s.awaitOK("platform", "/v1/vms")
}

func (s *system) writeJSON(path string, v any) {
	s.t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		s.t.Fatal(err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// addEngine starts an engine. It must be called before startPlatform.
func (s *system) addEngine(name, dataCentre string, args ...string) {
	address := s.freeAddress(name)
	args = append([]string{"engine", "--listen", address, "--name", name, "--model", "feed-rota-7b"}, args...)
	s.start(name, "bergamot-standin", args...)
	s.vms = append(s.vms, port.VM{ID: name, Address: address, DataCentre: dataCentre, Kind: port.KindEngine, Pool: "feed-rota", State: port.VMLive})
}

// addService starts a plain service. It must be called before startPlatform.
func (s *system) addService(name, dataCentre string) {
	address := s.freeAddress(name)
	s.start(name, "bergamot-standin", "service", "--listen", address, "--name", name)
	s.vms = append(s.vms, port.VM{ID: name, Address: address, DataCentre: dataCentre, Kind: port.KindService, Pool: "caretaker", State: port.VMLive})
}

// listDaemon reserves the addresses of a daemon. It must be called before
// startPlatform.
func (s *system) listDaemon(name, dataCentre string) {
	vm := port.VM{ID: name, DataCentre: dataCentre, Kind: port.KindDaemon, State: port.VMLive}
	vm.Address = s.freeAddress(name)
	vm.PeerAddress = s.freeAddress(name + "-peer")
	s.vms = append(s.vms, vm)
}

// startDaemon starts a daemon that listDaemon has added, or a replacement on its
// addresses.
func (s *system) startDaemon(name, dataCentre string) {
	s.startDaemonWith(name, dataCentre, func(*settings.Settings) {})
}

// startDaemonWith starts a daemon with changed settings.
func (s *system) startDaemonWith(name, dataCentre string, change func(*settings.Settings)) {
	cfg := settings.Default()
	cfg.Name, cfg.DataCentre, cfg.Region = name, dataCentre, "guj-west"
	cfg.Listen = settings.Listen{Caller: s.addresses[name], Peer: s.addresses[name+"-peer"]}
	url := "http://" + s.addresses["platform"]
	cfg.Platform = settings.Platform{Log: url, VMList: url, WeightStore: url}
	cfg.Timing.Lease = settings.Duration(3 * time.Second)
	cfg.Timing.UnfencedSettle = settings.Duration(2 * time.Second)
	change(&cfg)
	path := filepath.Join(s.dir, name+".json")
	s.writeJSON(path, cfg)
	s.start(name, "bergamotd", "--settings", path)
}

// publish publishes a configuration with bergamotctl.
func (s *system) publish(document string) {
	s.t.Helper()
	path := filepath.Join(s.dir, "configuration.json")
	if err := os.WriteFile(path, []byte(document), 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.runCtl("publish", path, "--log", "http://"+s.addresses["platform"])
}

// runCtl runs bergamotctl and returns its output.
func (s *system) runCtl(args ...string) string {
	s.t.Helper()
	out, err := exec.Command(filepath.Join(binaryDir, "bergamotctl"), args...).CombinedOutput()
	if err != nil {
		s.t.Fatalf("bergamotctl %s: %v\n%s", strings.Join(args, " "), err, out)
	}
	return string(out)
}

// await polls until a condition holds and fails the test after awaitTimeout.
func (s *system) await(what string, condition func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(awaitTimeout); time.Now().Before(deadline); {
		if condition() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	s.t.Fatalf("condition not met: %s", what)
}

func (s *system) awaitOK(name, path string) {
	s.t.Helper()
	s.await(name+" responds with status 200 to "+path, func() bool {
		r := s.request(name, http.MethodGet, path, nil, "")
		return r.status == http.StatusOK
	})
}

// response is what a caller received. A status of 0 means that no complete response
// arrived. refusal is nil unless the body is a refusal.
type response struct {
	status  int
	body    []byte
	refusal *refusal.BodyError
}

func (s *system) request(name, method, path string, header http.Header, body string) response {
	req, err := http.NewRequest(method, "http://"+s.addresses[name]+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return response{}
	}
	if header != nil {
		req.Header = header
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return response{}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{}
	}
	r := response{status: resp.StatusCode, body: data}
	var b refusal.Body
	if json.Unmarshal(data, &b) == nil && b.Error.Code != "" {
		r.refusal = &b.Error
	}
	return r
}

// get decodes the JSON response to a GET request.
func (s *system) get(name, path string, out any) {
	s.t.Helper()
	r := s.request(name, http.MethodGet, path, nil, "")
	if err := json.Unmarshal(r.body, out); err != nil {
		s.t.Fatalf("GET %s%s returned %d %q: %v", name, path, r.status, r.body, err)
	}
}

// configuration returns a configuration document in which engines run the given model
// version. An empty version leaves the version unspecified.
func configuration(version string) string {
	versions := ""
	if version != "" {
		versions = fmt.Sprintf(`, "versions": [{"model": "feed-rota-7b", "version": %q}]`, version)
	}
	return fmt.Sprintf(`{
  "ranks": [{"name": "urgent", "min_share": 0.2}],
  "pools": [{"name": "feed-rota", "models": ["feed-rota-7b"], "min_serving": 1, "checks_fencing": true%s}, {"name": "caretaker"}],
  "profiles": [{"name": "slot-query", "rank": "urgent", "pool": "feed-rota", "model": "feed-rota-7b",
    "first_token_ms": 20000, "token_ms": 1000, "total_ms": 60000, "worth": 3,
    "max_output_tokens": 2000, "max_prompt_tokens": 4000, "retry_share": 0.5}],
  "services": [{"name": "caretaker", "path_prefix": "/caretaker/", "pool": "caretaker", "claim_window_s": 3600,
    "non_repeatable": [{"method": "POST", "path": "/caretaker/confirm"}]}]
}`, versions)
}
