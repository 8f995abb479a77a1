package daemon

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"github.com/gravitational/trace"

	"bergamotsill.example/bergamotsill/internal/admin"
	"bergamotsill.example/bergamotsill/internal/burn"
	"bergamotsill.example/bergamotsill/internal/membership"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/quarantine"
)

// peerHandlers returns the handlers of the peer interface by method.
func (d *Daemon) peerHandlers() map[string]port.PeerHandler {
	return map[string]port.PeerHandler{
		admin.MethodStatus:  d.adminStatus,
		admin.MethodExplain: d.adminExplain,
		admin.MethodBurn:    d.adminBurn,
		admin.MethodRoles:   d.adminRoles,
		admin.MethodControl: d.adminControl,

		membership.MethodProbe: d.gossip.handleProbe,
		membership.MethodRelay: d.gossip.handleRelay,
		membership.MethodView:  d.gossip.handleView,
		membership.MethodVMs:   d.fleet.handleVMs,

		membership.MethodEngines: d.gossip.handleEngines,

		methodConfigRecords: d.config.handleRecords,
		methodDrainAck:      d.orders.handleAck,
		methodDrains:        d.orders.handleDrains,
		methodTokenReport:   d.orders.handleTokenReport,

		methodClaimAppend: d.claims.handleAppend,
		methodClaimStatus: d.claims.handleStatus,

		quarantine.MethodReport: d.suspects.handleReport,
	}
}

// adminStatus handles admin.MethodStatus.
func (d *Daemon) adminStatus(context.Context, json.RawMessage) (any, error) {
	status := admin.Status{
		Daemon:      d.settings.Name,
		Incarnation: d.incarnation,
		Version:     d.deps.Version,
		DataCentre:  d.settings.DataCentre,
		Region:      d.settings.Region,
		Ready:       d.Ready(),
		Stopping:    d.stopping.Load(),
		ConfigLoss:  d.config.reportedLoss(),
	}
	if s := d.config.Snapshot(); s != nil {
		status.Revision = s.Revision
	}
	for _, u := range d.fleet.allUpstreams() {
		row := admin.Upstream{VM: u.VM, InFlight: u.InFlight()}
		if r := u.Report(); r != nil {
			row.Report = &r.Status
			row.ReportAge = time.Since(r.Received)
			row.Failed = r.Failed
		}
		status.Upstreams = append(status.Upstreams, row)
	}
	sort.Slice(status.Upstreams, func(i, j int) bool {
		return status.Upstreams[i].VM.ID < status.Upstreams[j].VM.ID
	})
	return status, nil
}

// adminExplain handles admin.MethodExplain.
func (d *Daemon) adminExplain(_ context.Context, params json.RawMessage) (any, error) {
	var in admin.ExplainParams
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, trace.BadParameter("params: %v", err)
	}
	return admin.Explanation{
		Daemon:    d.settings.Name,
		RequestID: in.RequestID,
		Records:   d.decisions.Find(in.RequestID),
	}, nil
}

// adminBurn handles admin.MethodBurn.
func (d *Daemon) adminBurn(context.Context, json.RawMessage) (any, error) {
	d.burn.Advance(time.Now())
	return admin.Burn{Daemon: d.settings.Name, Rows: d.burn.Rows()}, nil
}

// adminRoles handles admin.MethodRoles.
func (d *Daemon) adminRoles(context.Context, json.RawMessage) (any, error) {
	return admin.Roles{Daemon: d.settings.Name, Records: d.roleDecisions.Find("")}, nil
}

// runBurn advances the time windows of the burn report.
func (d *Daemon) runBurn() error {
	runEvery(d.context(), burn.BucketLength, func(context.Context) { d.burn.Advance(time.Now()) })
	return nil
}
