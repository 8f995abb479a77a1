package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotsill.example/bergamotsill/internal/adapter/platform"
	"bergamotsill.example/bergamotsill/internal/port"
)

// VMList is a VM list whose changes become visible after a lag.
type VMList struct {
	mu      sync.Mutex
	lag     time.Duration
	down    bool
	visible []port.VM
	// pending holds the changes that are not visible yet, in order of time.
	pending []vmChange
}

type vmChange struct {
	at  time.Time
	vms []port.VM
}

// NewVMList returns a list that contains vms at once and shows later changes after
// lag.
func NewVMList(lag time.Duration, vms []port.VM) *VMList {
	return &VMList{lag: lag, visible: vms}
}

// Set replaces the list. The change becomes visible after the lag.
func (l *VMList) Set(vms []port.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	copied := append([]port.VM(nil), vms...)
	l.pending = append(l.pending, vmChange{at: time.Now().Add(l.lag), vms: copied})
}

// SetDown starts or ends an outage, in which List returns port.ErrLogUnavailable.
func (l *VMList) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// List implements port.VMList.
func (l *VMList) List(context.Context) (port.VMSnapshot, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return port.VMSnapshot{}, port.ErrLogUnavailable
	}
	now := time.Now()
	for len(l.pending) > 0 && !l.pending[0].at.After(now) {
		l.visible = l.pending[0].vms
		l.pending = l.pending[1:]
	}
	return port.VMSnapshot{Time: now, VMs: append([]port.VM(nil), l.visible...)}, nil
}

// Platform serves the log, the VM list and the weight store on one address.
type Platform struct {
	Log *Log
	VMs *VMList

	mu      sync.Mutex
	weights port.WeightStatus
}

// NewPlatform returns a platform with the given log and VM list.
func NewPlatform(log *Log, vms *VMList) *Platform {
	return &Platform{Log: log, VMs: vms, weights: port.WeightStatus{LoadsPerMinute: 6}}
}

// Status implements port.WeightStore.
func (p *Platform) Status(context.Context) (port.WeightStatus, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.weights, nil
}

// PlatformFaults is the request body of PUT /faults.
type PlatformFaults struct {
	Log        LogFaults `json:"log"`
	VMListDown bool      `json:"vm_list_down"`
}

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/streams/", p.Log)
	mux.HandleFunc("GET "+platform.VMsPath, p.serveVMs)
	mux.HandleFunc("PUT "+platform.VMsPath, p.replaceVMs)
	mux.HandleFunc("GET "+platform.WeightsPath, p.serveWeights)
	mux.HandleFunc("PUT /faults", p.setFaults)
	return mux
}

func (p *Platform) serveVMs(w http.ResponseWriter, r *http.Request) {
	snapshot, err := p.VMs.List(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	tag := entityTag(snapshot.VMs)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, snapshot)
}

// entityTag returns the ETag of a VM list.
func entityTag(vms []port.VM) string {
	// A VM contains only strings, so encoding it cannot fail.
	data, _ := json.Marshal(vms)
	return fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(data), 16))
}

func (p *Platform) replaceVMs(w http.ResponseWriter, r *http.Request) {
	var in port.VMSnapshot
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.VMs.Set(in.VMs)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveWeights(w http.ResponseWriter, r *http.Request) {
	status, _ := p.Status(r.Context())
	writeJSON(w, http.StatusOK, status)
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var in PlatformFaults
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Log.SetFaults(in.Log)
	p.VMs.SetDown(in.VMListDown)
	w.WriteHeader(http.StatusNoContent)
}
