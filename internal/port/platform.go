package port

import (
	"context"
	"time"
)

// VMKind is the kind of program that runs on a VM.
type VMKind string

// Kinds of VM.
const (
	KindDaemon  VMKind = "daemon"
	KindEngine  VMKind = "engine"
	KindService VMKind = "service"
)

// VMState is the life-cycle state of a VM.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the VM list.
type VM struct {
	ID string `json:"id"`
	// Address is host:port of the caller, engine or service interface.
	Address string `json:"address"`
	// PeerAddress is host:port of the peer interface; daemons only.
	PeerAddress string `json:"peer_address,omitempty"`
	DataCentre  string `json:"data_centre"`
	Kind        VMKind `json:"kind"`
	// Pool names the pool that an engine or service belongs to.
	Pool  string  `json:"pool,omitempty"`
	State VMState `json:"state"`
}

// VMSnapshot is the VM list as of Time.
type VMSnapshot struct {
	Time time.Time `json:"time"`
	VMs  []VM      `json:"vms"`
}

// VMList is the platform's list of VMs. It lags behind their actual state.
type VMList interface {
	List(ctx context.Context) (VMSnapshot, error)
}

// WeightStatus is the state of the weight store's rate limit.
type WeightStatus struct {
	LoadsPerMinute float64 `json:"loads_per_minute"`
	ActiveLoads    int     `json:"active_loads"`
}

// WeightStore is the rate-limited store from which engines load models.
type WeightStore interface {
	Status(ctx context.Context) (WeightStatus, error)
}
