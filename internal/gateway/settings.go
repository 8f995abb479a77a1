package gateway

import "time"

// Settings configure one gateway process.
type Settings struct {
	// Name identifies the daemon in logs and to its peers.
	Name       string
	DataCentre string
	Listen     Listen
	// StoreAddress is the host:port of the metadata store.
	StoreAddress string
	// MemoryBytes is the memory available to the process, in bytes.
	MemoryBytes int64
	// MaxSockets is the number of descriptors that the process may use for sockets; 0 if it is not known.
	MaxSockets int
	// DrainNotice is how long after a runner announces that it leaves new requests may still
	// reach it.
	DrainNotice time.Duration
	// StopGrace is the time from SIGTERM to SIGKILL.
	StopGrace time.Duration
	// OrderLease is the shortest time between orders of two daemons to one engine.
	OrderLease time.Duration
	Retries    RetryLimits
	Duties     DutySettings
	// SpreadLoad lets daemons with the same reports choose different runners; see package internal/spread. It is read at
	// the start only.
	SpreadLoad bool
	// FirstStart is set if no daemon of the system has run before.
	FirstStart bool
}

const (
	// clientSocketShare is the share of the sockets that connections of clients may use. The rest is for runners, the
	// store, other daemons and operators.
	clientSocketShare = 0.6
	// clientConnShare is the share of the memory that open connections of clients may occupy, connBytes what each
	// occupies: the buffers and stacks of net/http.
	clientConnShare = 0.2
	connBytes       = 16 << 10
)

// maxClientConns returns the number of connections of clients that may be open at once; 0 means that it is not limited.
func (s *Settings) maxClientConns() int {
	limit := int(clientSocketShare * float64(s.MaxSockets))
	if s.MemoryBytes > 0 {
		byMemory := int(clientConnShare * float64(s.MemoryBytes) / connBytes)
		if limit == 0 || byMemory < limit {
			limit = byMemory
		}
	}
	return limit
}

// Listen holds the addresses on which a daemon listens, as host:port.
type Listen struct {
	Clients string
	// Ready serves the load balancer's probes.
	Ready   string
	Peers   string
	Metrics string
	// Handovers takes requests that other daemons hand over; empty if there is no port for it.
	Handovers string
}

// DutySettings state which calls to the platform one daemon at a time makes for all.
type DutySettings struct {
	// Address is the host:port of the platform's API.
	Address string
	// ReportUsage and OrderRunners select the duties.
	ReportUsage, OrderRunners bool
	// UsageWindow is the length of the windows for which usage is reported, UsageLate the time after the end of a window
	// within which its report is due.
	UsageWindow, UsageLate time.Duration
}

// RetryLimits bound the retries of all daemons together.
type RetryLimits struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Window is the time over which requests and retries are counted.
	Window time.Duration
	// Slack is the number of retries per window that is allowed regardless of the number of
	// requests.
	Slack int
}
