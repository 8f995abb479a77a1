// Package settings loads and validates the settings file of a daemon.
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

// Duration is a time.Duration that is encoded in JSON as a string with a unit, such as
// "250ms".
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

// Settings is the content of the settings file of one daemon. It is read once, at start.
type Settings struct {
	// Name is the name of the daemon, unique among all daemons.
	Name string `json:"name"`
	// DataCentre is the name of the data centre that the daemon's VM is in.
	DataCentre string `json:"data_centre"`
	// Region is the name of the region that the data centre is in.
	Region string `json:"region"`

	Listen   Listen   `json:"listen"`
	Platform Platform `json:"platform"`
	// Peers are the IP:port addresses of peers to contact at start, in addition to the
	// daemons on the VM list.
	Peers  []string `json:"peers"`
	TLS    TLS      `json:"tls"`
	Limits Limits   `json:"limits"`
	Timing Timing   `json:"timing"`
	Claims Claims   `json:"claims"`
	// LogLevel is the lowest level that is logged: debug, info, warn or error.
	LogLevel string `json:"log_level"`
}

// Listen holds the IP:port addresses that the daemon listens on.
type Listen struct {
	// Caller is the address for requests of callers.
	Caller string `json:"caller"`
	// Peer is the address for connections from peer daemons and operators.
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

// TLS holds the paths of PEM files and the kinds of connections that use them. Changed
// files are reloaded; when a new file is invalid, the previous content stays in use.
type TLS struct {
	// Certificate is the path of the daemon's certificate chain, Key that of its private key.
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// CA is the path of the certificates of the authorities that sign the certificates of
	// peers, upstreams and platform services.
	CA string `json:"ca"`
	// Callers, Peers, Upstreams and Platform each enable TLS for one kind of connection.
	// Connections between peers use mutual authentication.
	Callers   bool `json:"callers"`
	Peers     bool `json:"peers"`
	Upstreams bool `json:"upstreams"`
	Platform  bool `json:"platform"`
	// PeerName is the DNS name that the certificates of peers and operators must
	// contain. When it is empty, every certificate that is signed by the CA is accepted.
	PeerName string `json:"peer_name"`
}

// Enabled reports whether any kind of connection uses TLS.
func (t TLS) Enabled() bool { return t.Callers || t.Peers || t.Upstreams || t.Platform }

// Limits holds the limits that bound the daemon's memory.
type Limits struct {
	// BodyBytes is the maximum size in bytes of a caller's request body.
	BodyBytes int64 `json:"body_bytes"`
	// HeadBytes is the maximum size in bytes of the request line and the header of a caller's request. Up to 4096 bytes
	// more may be accepted.
	HeadBytes int64 `json:"head_bytes"`
	// InFlightBytes is the maximum total size in bytes of the bodies of all queued and
	// running requests. A body takes up to three times its size in memory: as received, as
	// the decoded prompt and as sent to an engine. Beside them, large headers may occupy half as much, or what one
	// header of head_bytes takes if that is more: each counts with 256 bytes a line and three times its size, beyond the
	// first 8192 bytes of that.
	InFlightBytes int64 `json:"in_flight_bytes"`
	// CallerConnections is the maximum number of open connections of callers. Beyond it, connections that carry no
	// request are closed for new ones. 0 means no limit.
	CallerConnections int `json:"caller_connections"`
	// QueueRequests is the maximum number of queued requests.
	QueueRequests int `json:"queue_requests"`
	// QuarantineEntries is the maximum number of entries in the table of suspect digests.
	QuarantineEntries int `json:"quarantine_entries"`
	// DecisionRecords is the maximum number of decision records kept for
	// `bergamotctl explain`, and separately for `bergamotctl roles history`.
	DecisionRecords int `json:"decision_records"`
}

// Timing holds intervals and deadlines.
type Timing struct {
	// Lease is how long a daemon may issue engine orders without renewing its lease.
	Lease Duration `json:"lease"`
	// ClockDrift is the margin for clock drift that a daemon adds to the lease of another
	// daemon before it claims that lease.
	ClockDrift Duration `json:"clock_drift"`
	// ProbeInterval is the time between two health probes of peers.
	ProbeInterval Duration `json:"probe_interval"`
	// StatusInterval is the time between two polls of an engine's status.
	StatusInterval Duration `json:"status_interval"`
	// VMListInterval is the time between two polls of the VM list.
	VMListInterval Duration `json:"vm_list_interval"`
	// Progress is the longest gap allowed on a response stream.
	Progress Duration `json:"progress"`
	// BalancerDelay is how long a stopping daemon still accepts requests after it reports
	// not ready, so that load balancers can stop sending them in time.
	BalancerDelay Duration `json:"balancer_delay"`
	// UnfencedSettle is how long a VM must be missing from the VM list before its daemon
	// is considered to have left.
	UnfencedSettle Duration `json:"unfenced_settle"`
	// QuarantineHold is how long requests with a quarantined digest are refused.
	QuarantineHold Duration `json:"quarantine_hold"`
}

// Claims configures calls that must not be repeated.
type Claims struct {
	// Partitions is the number of claim streams. It must be the same on all daemons.
	Partitions int `json:"partitions"`
	// AnswerBytes is the maximum size in bytes of an answer that is recorded.
	AnswerBytes int64 `json:"answer_bytes"`
	// Calls is the maximum number of claimed calls that are running or waiting to be
	// recorded.
	Calls int `json:"calls"`
	// CheckpointRecords is the number of records on a claim stream after which a new
	// checkpoint of its state is written. It must be well below the number of records that
	// the log retains. A checkpoint holds up to 50,000 keys, so a low value multiplies the
	// amount of appended data.
	CheckpointRecords int64 `json:"checkpoint_records"`
	// Retention is how long the log service retains records. A claim window longer than half
	// of it is reduced to half, because recorded answers are stored only on the log.
	Retention Duration `json:"retention"`
	// Wait is how long a repeated request waits for the call that is already running.
	Wait Duration `json:"wait"`
	// CallTimeout is the maximum duration of a claimed call at an upstream.
	CallTimeout Duration `json:"call_timeout"`
}

// EffectiveWindow returns the claim window that applies for a configured one: at most half
// of Retention.
func (c Claims) EffectiveWindow(configured time.Duration) time.Duration {
	return min(configured, c.Retention.Std()/2)
}

// Default returns the default settings. Required settings are empty.
func Default() Settings {
	return Settings{
		Limits: Limits{
			BodyBytes:         4 << 20,
			HeadBytes:         64 << 10,
			InFlightBytes:     12 << 20,
			CallerConnections: 4000,
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

// Load reads and validates the settings file at path. The error lists every finding.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, trace.ConvertSystemError(err)
	}
	return Parse(path, data)
}

// Parse decodes and validates settings; file is the name of the input in findings. The
// error lists every finding.
func Parse(file string, data []byte) (Settings, error) {
	s, list := Check(file, data)
	return s, list.Err()
}

// Check decodes and validates settings and returns every finding.
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
	checkAddress(list, "listen.caller", s.Listen.Caller)
	checkAddress(list, "listen.peer", s.Listen.Peer)
	checkBaseURL(list, "platform.log", s.Platform.Log)
	checkBaseURL(list, "platform.vm_list", s.Platform.VMList)
	checkBaseURL(list, "platform.weight_store", s.Platform.WeightStore)
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
		path := fmt.Sprintf("peers[%d]", i)
		checkAddress(list, path, p)
		if firstIndex, ok := seen[p]; ok {
			list.Add(path, "duplicate of peers[%d]", firstIndex)
			continue
		}
		seen[p] = i
	}
}

func (s *Settings) checkTLS(list *findings.List) {
	t := s.TLS
	if t.Enabled() {
		checkRequired(list, "tls.certificate", t.Certificate)
		checkRequired(list, "tls.key", t.Key)
		checkRequired(list, "tls.ca", t.CA)
	} else if t != (TLS{}) {
		list.Add("tls", "TLS is not enabled for any connection: set callers, peers, upstreams or platform")
	}
	if t.PeerName != "" && !t.Peers {
		list.Add("tls.peer_name", "has no effect unless peers is true")
	}
	s.checkScheme(list, "platform.log", s.Platform.Log)
	s.checkScheme(list, "platform.vm_list", s.Platform.VMList)
	s.checkScheme(list, "platform.weight_store", s.Platform.WeightStore)
}

// checkScheme adds a finding for a URL whose scheme contradicts tls.platform.
func (s *Settings) checkScheme(list *findings.List, path, value string) {
	secure := strings.HasPrefix(value, "https:")
	if s.TLS.Platform && !secure {
		list.Add(path, "must start with https because tls.platform is true")
	}
	if !s.TLS.Platform && secure {
		list.Add(path, "must start with http unless tls.platform is true")
	}
}

func checkRequired(list *findings.List, path, value string) {
	if value == "" {
		list.Add(path, "is required")
	}
}

func checkAddress(list *findings.List, path, value string) {
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

func checkBaseURL(list *findings.List, path, value string) {
	u, err := url.Parse(value)
	if err != nil {
		list.Add(path, "expected an http or https URL")
		return
	}
	if (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		list.Add(path, "expected an http or https URL, found %q", u.Redacted())
		return
	}
	// A password in the URL would end up in the logs with error messages.
	if u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		list.Add(path, "must not hold a user name, a password, a query or a fragment")
	}
}
