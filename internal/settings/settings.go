// Package settings reads and checks the settings file of one daemon.
package settings

import (
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"os"
	"time"

	"github.com/gravitational/trace"

	"bergamotsill.example/bergamotsill/internal/findings"
)

// Duration is a time.Duration written as a string with a unit, such as "250ms".
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("expected a duration with a unit such as \"250ms\", found %s", data)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("expected a duration with a unit such as \"250ms\", found %q", s)
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Settings configures one daemon. They are read once at start.
type Settings struct {
	// Name is unique among daemons.
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`

	Listen   Listen   `json:"listen"`
	Platform Platform `json:"platform"`
	// Peers are host:port peer addresses to start from, beside the VM list.
	Peers    []string `json:"peers"`
	TLS      TLS      `json:"tls"`
	Limits   Limits   `json:"limits"`
	Timing   Timing   `json:"timing"`
	Claims   Claims   `json:"claims"`
	LogLevel string   `json:"log_level"`
}

// Listen holds host:port addresses with a numeric IP.
type Listen struct {
	Caller string `json:"caller"`
	Peer   string `json:"peer"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Log         string `json:"log"`
	VMList      string `json:"vm_list"`
	WeightStore string `json:"weight_store"`
}

// TLS names PEM files. All empty means plain TCP. The files are read again when
// they change.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	CA          string `json:"ca"`
}

// Enabled tells whether TLS is configured.
func (t TLS) Enabled() bool { return t != TLS{} }

// Limits bound the daemon's memory.
type Limits struct {
	// BodyBytes bounds a caller's request body.
	BodyBytes int64 `json:"body_bytes"`
	// QueueRequests bounds the number of waiting requests.
	QueueRequests int `json:"queue_requests"`
	// QuarantineEntries bounds the table of suspect digests.
	QuarantineEntries int `json:"quarantine_entries"`
	// DecisionRecords bounds the records kept for explain.
	DecisionRecords int `json:"decision_records"`
}

// Timing holds intervals and deadlines.
type Timing struct {
	Lease Duration `json:"lease"`
	// ClockDrift is the margin that a challenger adds to the lease.
	ClockDrift     Duration `json:"clock_drift"`
	ProbeInterval  Duration `json:"probe_interval"`
	StatusInterval Duration `json:"status_interval"`
	VMListInterval Duration `json:"vm_list_interval"`
	// Progress is the longest silence allowed on an answer stream.
	Progress Duration `json:"progress"`
	// BalancerDelay is the time between readiness false and refusing new work.
	BalancerDelay Duration `json:"balancer_delay"`
	// UnfencedSettle is how long a VM must be off the VM list before its daemon
	// counts as gone.
	UnfencedSettle Duration `json:"unfenced_settle"`
	// QuarantineHold is how long a quarantined digest is refused.
	QuarantineHold Duration `json:"quarantine_hold"`
}

// Claims configures calls that may not be repeated.
type Claims struct {
	// Partitions is the number of claim streams; equal on all daemons.
	Partitions int `json:"partitions"`
	// AnswerBytes bounds a recorded answer.
	AnswerBytes int64 `json:"answer_bytes"`
	// Calls bounds the claimed calls that run or wait to be recorded.
	Calls int `json:"calls"`
	// CheckpointRecords is the number of records on a claim stream after which its
	// state is written again. It must be well below what the log retains.
	CheckpointRecords int64 `json:"checkpoint_records"`
	// Retention is how long the log keeps records. A claim window longer than half
	// of it is cut to that, since recorded answers stay on the log alone.
	Retention Duration `json:"retention"`
	// Wait is how long a resend waits for a call that runs.
	Wait Duration `json:"wait"`
	// CallTimeout bounds a claimed call at an upstream.
	CallTimeout Duration `json:"call_timeout"`
}

// Window returns the window in force for a configured one.
func (c Claims) Window(configured time.Duration) time.Duration {
	return min(configured, c.Retention.Std()/2)
}

// Default returns settings with every optional value filled in.
func Default() Settings {
	return Settings{
		Limits: Limits{
			BodyBytes:         4 << 20,
			QueueRequests:     2000,
			QuarantineEntries: 4096,
			DecisionRecords:   4096,
		},
		Timing: Timing{
			Lease:          Duration(10 * time.Second),
			ClockDrift:     Duration(time.Second),
			ProbeInterval:  Duration(500 * time.Millisecond),
			StatusInterval: Duration(200 * time.Millisecond),
			VMListInterval: Duration(time.Second),
			Progress:       Duration(5 * time.Second),
			BalancerDelay:  Duration(time.Second),
			UnfencedSettle: Duration(30 * time.Second),
			QuarantineHold: Duration(10 * time.Minute),
		},
		Claims: Claims{
			Partitions:        16,
			AnswerBytes:       64 << 10,
			Calls:             1024,
			CheckpointRecords: 2000,
			Retention:         Duration(72 * time.Hour),
			Wait:              Duration(5 * time.Second),
			CallTimeout:       Duration(time.Minute),
		},
		LogLevel: "info",
	}
}

// Load reads and checks the settings file at path. The error lists every finding.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, trace.ConvertSystemError(err)
	}
	return Parse(path, data)
}

// Parse checks settings; file names the input in findings.
func Parse(file string, data []byte) (Settings, error) {
	s := Default()
	list := findings.Decode(file, data, &s)
	s.check(list)
	return s, list.Err()
}

func (s *Settings) check(list *findings.List) {
	required(list, "name", s.Name)
	required(list, "data_centre", s.DataCentre)
	required(list, "region", s.Region)
	address(list, "listen.caller", s.Listen.Caller)
	address(list, "listen.peer", s.Listen.Peer)
	baseURL(list, "platform.log", s.Platform.Log)
	baseURL(list, "platform.vm_list", s.Platform.VMList)
	baseURL(list, "platform.weight_store", s.Platform.WeightStore)
	s.checkPeers(list)
	s.checkTLS(list)
	s.checkLimits(list)
	s.checkTiming(list)
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		list.Add("log_level", "expected debug, info, warn or error, found %q", s.LogLevel)
	}
}

func (s *Settings) checkPeers(list *findings.List) {
	seen := map[string]int{}
	for i, p := range s.Peers {
		place := fmt.Sprintf("peers[%d]", i)
		address(list, place, p)
		if first, ok := seen[p]; ok {
			list.Add(place, "duplicate of peers[%d]", first)
			continue
		}
		seen[p] = i
	}
}

func (s *Settings) checkTLS(list *findings.List) {
	if !s.TLS.Enabled() {
		return
	}
	required(list, "tls.certificate", s.TLS.Certificate)
	required(list, "tls.key", s.TLS.Key)
	required(list, "tls.ca", s.TLS.CA)
}

func (s *Settings) checkLimits(list *findings.List) {
	positive(list, "limits.body_bytes", s.Limits.BodyBytes)
	positive(list, "limits.queue_requests", int64(s.Limits.QueueRequests))
	positive(list, "limits.quarantine_entries", int64(s.Limits.QuarantineEntries))
	positive(list, "limits.decision_records", int64(s.Limits.DecisionRecords))
	positive(list, "claims.partitions", int64(s.Claims.Partitions))
	positive(list, "claims.answer_bytes", s.Claims.AnswerBytes)
	positive(list, "claims.calls", int64(s.Claims.Calls))
	positive(list, "claims.checkpoint_records", s.Claims.CheckpointRecords)
	positive(list, "claims.retention", int64(s.Claims.Retention))
	positive(list, "claims.wait", int64(s.Claims.Wait))
	positive(list, "claims.call_timeout", int64(s.Claims.CallTimeout))
}

func (s *Settings) checkTiming(list *findings.List) {
	t := s.Timing
	positive(list, "timing.lease", int64(t.Lease))
	positive(list, "timing.clock_drift", int64(t.ClockDrift))
	positive(list, "timing.probe_interval", int64(t.ProbeInterval))
	positive(list, "timing.status_interval", int64(t.StatusInterval))
	positive(list, "timing.vm_list_interval", int64(t.VMListInterval))
	positive(list, "timing.progress", int64(t.Progress))
	positive(list, "timing.unfenced_settle", int64(t.UnfencedSettle))
	positive(list, "timing.quarantine_hold", int64(t.QuarantineHold))
	if t.BalancerDelay < 0 {
		list.Add("timing.balancer_delay", "must not be negative")
	}
}

func required(list *findings.List, path, value string) {
	if value == "" {
		list.Add(path, "is required")
	}
}

func positive(list *findings.List, path string, value int64) {
	if value <= 0 {
		list.Add(path, "must be greater than 0")
	}
}

func address(list *findings.List, path, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		list.Add(path, "expected IP:port, found %q", value)
		return
	}
	if net.ParseIP(host) == nil {
		list.Add(path, "expected a numeric IP address, found %q", host)
	}
	if _, err := net.LookupPort("tcp", port); err != nil {
		list.Add(path, "bad port %q", port)
	}
}

func baseURL(list *findings.List, path, value string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		list.Add(path, "expected an http or https URL, found %q", value)
	}
}
