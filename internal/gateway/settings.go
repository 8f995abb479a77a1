package gateway

import "time"

// Settings are what a process is told at its start.
type Settings struct {
	// Name identifies the daemon in logs and to its peers.
	Name       string
	DataCentre string
	Listen     Listen
	// StoreAddress is host:port of the metadata store.
	StoreAddress string
	// MemoryBytes is the memory of the process.
	MemoryBytes int64
	// DrainNotice is how long after a runner's announcement new requests may reach it.
	DrainNotice time.Duration
	// StopGrace is the time from SIGTERM to SIGKILL.
	StopGrace time.Duration
	// OrderLease is the shortest time between orders of two daemons to one engine.
	OrderLease time.Duration
	Retries    RetryLimits
}

// Listen holds the addresses that a daemon serves, as host:port.
type Listen struct {
	Clients string
	// Ready answers the balancer's probes.
	Ready   string
	Peers   string
	Metrics string
}

// RetryLimits bound the retries of all daemons together.
type RetryLimits struct {
	// Ratio is the number of retries per request.
	Ratio float64
	// Window is the time over which they are counted.
	Window time.Duration
	// Slack is the number of retries in a window that needs no requests.
	Slack int
}
