package platform

import (
	"context"
	"net/http"
	"sync"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/network"
	"bergamotsill.example/bergamotsill/internal/port"
)

// Paths of the VM list and the weight store.
const (
	VMsPath     = "/v1/vms"
	WeightsPath = "/v1/weights"
)

// VMList is the client of the VM list. It implements port.VMList. It asks with an
// entity tag, so that an unchanged list costs a short answer.
type VMList struct {
	client client

	mu   sync.Mutex
	last vmListResponse
}

// vmListResponse is one answer of the VM list.
type vmListResponse struct {
	tag  string
	list port.VMSnapshot
	// requestedAt is when the list was asked for on the local clock.
	requestedAt time.Time
}

// NewVMList returns a client for the VM list at base.
func NewVMList(base string, nw network.Network) *VMList {
	return &VMList{client: newClient(base, nw)}
}

// List implements port.VMList. The time of an unchanged list is the one of the
// platform, moved on by the time that has passed here.
func (l *VMList) List(ctx context.Context) (port.VMSnapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	cached := l.cached()
	var out port.VMSnapshot
	requestedAt := time.Now()
	status, tag, err := l.client.doTagged(ctx, http.MethodGet, VMsPath, cached.tag, nil, &out)
	if err != nil {
		return port.VMSnapshot{}, err
	}
	if status == http.StatusNotModified {
		out = cached.list
		out.Time = out.Time.Add(requestedAt.Sub(cached.requestedAt))
	}
	l.store(vmListResponse{tag: tag, list: out, requestedAt: requestedAt})
	return out, nil
}

func (l *VMList) cached() vmListResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last
}

// store remembers an answer unless that to a later request came first.
func (l *VMList) store(response vmListResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if response.requestedAt.After(l.last.requestedAt) {
		l.last = response
	}
}

// WeightStore is the client of the weight store. It implements port.WeightStore.
type WeightStore struct{ client client }

// NewWeightStore returns a client for the weight store at base.
func NewWeightStore(base string, nw network.Network) *WeightStore {
	return &WeightStore{client: newClient(base, nw)}
}

// Status implements port.WeightStore.
func (w *WeightStore) Status(ctx context.Context) (port.WeightStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var out port.WeightStatus
	_, err := w.client.do(ctx, http.MethodGet, WeightsPath, nil, &out)
	return out, err
}
