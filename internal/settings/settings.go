// Package settings reads and checks the settings file of one daemon.
package settings

import (
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"os"
	"strconv"
	"strings"
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
	Name string `json:"name"`
	// DataCentre is the data centre of the daemon's VM.
	DataCentre string `json:"data_centre"`
	// Region is the region of the data centre.
	Region string `json:"region"`

	Listen   Listen   `json:"listen"`
	Platform Platform `json:"platform"`
	// Peers are IP:port peer addresses to start from, beside the VM list.
	Peers  []string `json:"peers"`
	TLS    TLS      `json:"tls"`
	Limits Limits   `json:"limits"`
	Timing Timing   `json:"timing"`
	Claims Claims   `json:"claims"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level"`
}

// Listen holds IP:port addresses.
type Listen struct {
	// Caller is the address for callers.
	Caller string `json:"caller"`
	// Peer is the address for other daemons and for operators.
	Peer string `json:"peer"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	// Log is the base URL of the log service.
	Log string `json:"log"`
	// VMList is the base URL of the VM list.
	VMList string `json:"vm_list"`
	// WeightStore is the base URL of the weight store.
	WeightStore string `json:"weight_store"`
}

// TLS names PEM files and the links that use them. The files are read again when
// they change; a bad new file keeps the old one.
type TLS struct {
	// Certificate holds the daemon's certificate chain, Key its private key.
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// CA holds the certificates that sign those of peers, upstreams and platform.
	CA string `json:"ca"`
	// Callers, Peers, Upstreams and Platform switch TLS on for one kind of link.
	// Peers authenticate each other.
	Callers   bool `json:"callers"`
	Peers     bool `json:"peers"`
	Upstreams bool `json:"upstreams"`
	Platform  bool `json:"platform"`
	// PeerName is the DNS name that the certificates of peers and operators must
	// carry. When it is empty, every certificate that the CA signed is accepted.
	PeerName string `json:"peer_name"`
}

// Enabled tells whether any link uses TLS.
func (t TLS) Enabled() bool { return t.Callers || t.Peers || t.Upstreams || t.Platform }

// Limits bound the daemon's memory.
type Limits struct {
	// BodyBytes bounds a caller's request body.
	BodyBytes int64 `json:"body_bytes"`
	// InFlightBytes bounds the bodies of all requests that wait or run. A body takes
	// up to three times its size: as received, as the decoded prompt and as sent to an
	// engine.
	InFlightBytes int64 `json:"in_flight_bytes"`
	// QueueRequests bounds the number of waiting requests.
	QueueRequests int `json:"queue_requests"`
	// QuarantineEntries bounds the table of suspect digests.
	QuarantineEntries int `json:"quarantine_entries"`
	// DecisionRecords bounds the records kept for explain.
	DecisionRecords int `json:"decision_records"`
}

// Timing holds intervals and deadlines.
type Timing struct {
	// Lease is how long a daemon may issue engine orders without renewing.
	Lease Duration `json:"lease"`
	// ClockDrift is the margin that a challenger adds to the lease.
	ClockDrift Duration `json:"clock_drift"`
	// ProbeInterval is the time between two probes of peers.
	ProbeInterval Duration `json:"probe_interval"`
	// StatusInterval is the time between two reads of an engine's status.
	StatusInterval Duration `json:"status_interval"`
	// VMListInterval is the time between two reads of the VM list.
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
	// state is written again. It must be well below what the log retains. A state
	// holds up to 50,000 keys, so a low value multiplies what is appended.
	CheckpointRecords int64 `json:"checkpoint_records"`
	// Retention is how long the log keeps records. A claim window longer than half
	// of it is cut to that, since recorded answers stay on the log alone.
	Retention Duration `json:"retention"`
	// Wait is how long a resend waits for a call that runs.
	Wait Duration `json:"wait"`
	// CallTimeout bounds a claimed call at an upstream.
	CallTimeout Duration `json:"call_timeout"`
}

// EffectiveWindow returns the window in force for a configured one.
func (c Claims) EffectiveWindow(configured time.Duration) time.Duration {
	return min(configured, c.Retention.Std()/2)
}

// Default returns settings with every optional value filled in.
func Default() Settings {
	return Settings{
		Limits: Limits{
			BodyBytes:         4 << 20,
			InFlightBytes:     12 << 20,
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
			CheckpointRecords: 10_000,
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
	s, list := Check(file, data)
	return s, list.Err()
}

// Check decodes settings and returns every finding.
func Check(file string, data []byte) (Settings, *findings.List) {
	s := Default()
	list := findings.Decode(file, data, &s)
	s.check(list)
	return s, list
}

func (s *Settings) check(list *findings.List) {
	checkName(list, "name", s.Name)
	checkName(list, "data_centre", s.DataCentre)
	checkName(list, "region", s.Region)
	address(list, "listen.caller", s.Listen.Caller)
	address(list, "listen.peer", s.Listen.Peer)
	baseURL(list, "platform.log", s.Platform.Log)
	baseURL(list, "platform.vm_list", s.Platform.VMList)
	baseURL(list, "platform.weight_store", s.Platform.WeightStore)
	s.checkPeers(list)
	s.checkTLS(list)
	checkRanges(list, s)
	s.checkRelations(list)
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
	t := s.TLS
	if t.Enabled() {
		required(list, "tls.certificate", t.Certificate)
		required(list, "tls.key", t.Key)
		required(list, "tls.ca", t.CA)
	} else if t != (TLS{}) {
		list.Add("tls", "no link is switched on: set callers, peers, upstreams or platform")
	}
	if t.PeerName != "" && !t.Peers {
		list.Add("tls.peer_name", "has no effect unless peers is true")
	}
	s.checkScheme(list, "platform.log", s.Platform.Log)
	s.checkScheme(list, "platform.vm_list", s.Platform.VMList)
	s.checkScheme(list, "platform.weight_store", s.Platform.WeightStore)
}

// checkScheme reports a URL whose scheme contradicts tls.platform.
func (s *Settings) checkScheme(list *findings.List, path, value string) {
	secure := strings.HasPrefix(value, "https:")
	if s.TLS.Platform && !secure {
		list.Add(path, "must start with https since tls.platform is true")
	}
	if !s.TLS.Platform && secure {
		list.Add(path, "must start with http unless tls.platform is true")
	}
}

func required(list *findings.List, path, value string) {
	if value == "" {
		list.Add(path, "is required")
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
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		list.Add(path, "expected a port from 1 to 65535, found %q", port)
	}
}

func baseURL(list *findings.List, path, value string) {
	u, err := url.Parse(value)
	if err != nil {
		list.Add(path, "expected an http or https URL")
		return
	}
	if (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		list.Add(path, "expected an http or https URL, found %q", u.Redacted())
		return
	}
	// A password in the URL would reach the logs with error messages.
	if u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		list.Add(path, "must not hold a user name, a password, a query or a fragment")
	}
}
