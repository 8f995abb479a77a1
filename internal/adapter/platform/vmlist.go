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

// VMList is the client of the VM list. It implements port.VMList. Its requests contain an
// entity tag, so that the response for an unchanged list is short.
type VMList struct {
	client client

	mu   sync.Mutex
	last vmListResponse
}

// vmListResponse is a cached response of the VM list.
type vmListResponse struct {
	tag  string
	list port.VMSnapshot
	// requestedAt is the local time of the request.
	requestedAt time.Time
}

// NewVMList returns a client for the VM list at base.
func NewVMList(base string, nw network.Network) *VMList {
	return &VMList{client: newClient(base, nw)}
}

// List implements port.VMList. The time of an unchanged list is the platform's time of
// the cached list plus the local time that has passed since that list was requested.
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

// cached returns the cached response. It is empty before the first one.
func (l *VMList) cached() vmListResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last
}

// store caches a response unless the response to a later request is cached already.
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
