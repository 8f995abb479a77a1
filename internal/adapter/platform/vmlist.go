package platform

import (
	"context"
	"net/http"

	"bergamotsill.example/bergamotsill/internal/adapter/network"
	"bergamotsill.example/bergamotsill/internal/port"
)

// Paths of the VM list and the weight store.
const (
	VMsPath     = "/v1/vms"
	WeightsPath = "/v1/weights"
)

// VMList is the client of the VM list. It implements port.VMList.
type VMList struct{ client client }

// NewVMList returns a client for the VM list at base.
func NewVMList(base string, nw network.Network) *VMList {
	return &VMList{client: newClient(base, nw)}
}

// List implements port.VMList.
func (l *VMList) List(ctx context.Context) (port.VMSnapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var out port.VMSnapshot
	_, err := l.client.do(ctx, http.MethodGet, VMsPath, nil, &out)
	return out, err
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
