package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/claim"
	"bergamotsill.example/bergamotsill/internal/port"
)

// Peer methods of claims.
const (
	methodClaimAppend = "claim.append"
	methodClaimStatus = "claim.status"
)

const (
	// maxRemoteAppenders is the number of peers, in rendezvous order, to which a
	// daemon submits a record before it appends the record itself.
	maxRemoteAppenders = 2
	// claimPeerTimeout bounds one call to an appender. It exceeds
	// claimSettleTimeout, so that an appender that is still searching the log for
	// its append can respond in time.
	claimPeerTimeout = claimSettleTimeout + time.Second
	// claimStatusTimeout bounds a status request to the owner of a claim and the
	// transfer of one stream to its next appender.
	claimStatusTimeout = time.Second
	// claimPeerBackoff is how long a failed appender is skipped.
	claimPeerBackoff = 5 * time.Second
)

// claimAppendParams are the parameters of claim.append. A call without a record
// makes the daemon read the stream in preparation for later records.
type claimAppendParams struct {
	Stream string        `json:"stream"`
	Record *claim.Record `json:"record,omitempty"`
}

// claimStatusParams are the parameters of claim.status.
type claimStatusParams struct {
	Attempt claim.Attempt `json:"attempt"`
}

// ownerState is the state of a call as reported by the owner of its claim.
type ownerState string

const (
	// ownerGone means that another incarnation responded at the owner's address.
	ownerGone ownerState = "gone"
	// ownerRunning means that the call is running or that its claim is being
	// withdrawn.
	ownerRunning ownerState = "running"
	// ownerAnswered means that the call was answered; its outcome may not be
	// recorded yet.
	ownerAnswered ownerState = "answered"
	// ownerFailed means that the call was sent and that no response arrived.
	ownerFailed ownerState = "failed"
	// ownerUnreachable means that the request to the owner's address failed.
	ownerUnreachable ownerState = "unreachable"
)

// claimStatus is the response to claim.status.
type claimStatus struct {
	State  ownerState            `json:"state"`
	Answer *port.ServiceResponse `json:"answer,omitempty"`
}

// liveAddresses returns the peer addresses of the daemons that the VM list shows as
// live. It includes this daemon unless the daemon is stopping.
func (c *claims) liveAddresses() []string {
	var out []string
	local := c.daemon.settings.Listen.Peer
	for _, vm := range c.daemon.fleet.daemons() {
		if vm.State == port.VMLive && vm.PeerAddress != "" && vm.PeerAddress != local {
			out = append(out, vm.PeerAddress)
		}
	}
	if !c.daemon.stopping.Load() {
		out = append(out, local)
	}
	return out
}

// isAppender reports whether this daemon is the appender of a stream.
func (c *claims) isAppender(stream string) bool {
	return claim.FirstAppender(stream, c.liveAddresses()) == c.daemon.settings.Listen.Peer
}

// appenders returns the addresses to which a record is submitted, in order. This
// daemon's address is always included: at its rendezvous position, or last.
func (c *claims) appenders(stream string) []string {
	local := c.daemon.settings.Listen.Peer
	var out []string
	remote, includesLocal := 0, false
	for _, address := range claim.Appenders(stream, c.liveAddresses()) {
		switch {
		case remote == maxRemoteAppenders:
			// No further peers are added. This daemon is added below if its
			// position comes later.
		case address == local:
			out = append(out, local)
			includesLocal = true
		case !c.inBackoff(address):
			out = append(out, address)
			remote++
		}
	}
	if !includesLocal {
		out = append(out, local)
	}
	return out
}

// inBackoff reports whether an appender is currently skipped because it failed.
func (c *claims) inBackoff(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.backoffUntil[address])
}

// startBackoff makes appenders skip an address for claimPeerBackoff.
func (c *claims) startBackoff(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backoffUntil[address] = time.Now().Add(claimPeerBackoff)
}

// submit submits a record to the partition's appender, then to the next ones and to
// this daemon until the log has decided. It returns the first decision of the log.
// Otherwise uncertain reports whether any of them may have appended the record.
func (c *claims) submit(ctx context.Context, r claim.Record) (result claimResult, uncertain bool) {
	stream := c.stream(r.Key)
	for _, address := range c.appenders(stream) {
		result = c.submitTo(ctx, address, stream, r)
		if result.decided() {
			return result, uncertain
		}
		uncertain = uncertain || result.Decision == decisionUncertain
	}
	return result, uncertain
}

// submitTo submits a record to the appender at an address, which may be this daemon. A
// failed call to a peer starts the peer's backoff and returns decisionUncertain.
func (c *claims) submitTo(ctx context.Context, address, stream string, r claim.Record) claimResult {
	ctx, cancel := context.WithTimeout(ctx, claimPeerTimeout)
	defer cancel()
	if address == c.daemon.settings.Listen.Peer {
		return c.partitions[stream].submit(ctx, r)
	}
	var result claimResult
	params := claimAppendParams{Stream: stream, Record: &r}
	err := c.daemon.deps.Peers(address).Call(ctx, methodClaimAppend, params, &result)
	if err == nil {
		return result
	}
	c.startBackoff(address)
	// The peer may have received the record even if the call failed.
	return claimResult{Decision: decisionUncertain}
}

// handleAppend handles claim.append. A stopping daemon no longer appends for its
// peers.
func (c *claims) handleAppend(ctx context.Context, params json.RawMessage) (any, error) {
	var in claimAppendParams
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, trace.BadParameter("params: %v", err)
	}
	a, ok := c.partitions[in.Stream]
	if !ok {
		return nil, trace.BadParameter("unknown claim stream %q", in.Stream)
	}
	if c.daemon.stopping.Load() {
		return claimResult{Decision: decisionUnavailable}, nil
	}
	if in.Record == nil {
		in.Record = &claim.Record{}
	}
	ctx, cancel := context.WithTimeout(ctx, claimPeerTimeout)
	defer cancel()
	return a.submit(ctx, *in.Record), nil
}

// queryOwner returns the state of a claim as reported by its owner.
func (c *claims) queryOwner(ctx context.Context, e *claim.Entry) claimStatus {
	if e.Owner == c.daemon.incarnation {
		return c.status(e.Attempt)
	}
	ctx, cancel := context.WithTimeout(ctx, claimStatusTimeout)
	defer cancel()
	var out claimStatus
	err := c.daemon.deps.Peers(e.OwnerAddress).Call(ctx, methodClaimStatus, claimStatusParams{Attempt: e.Attempt}, &out)
	if err != nil {
		return claimStatus{State: ownerUnreachable}
	}
	return out
}

// handleStatus handles claim.status.
func (c *claims) handleStatus(_ context.Context, params json.RawMessage) (any, error) {
	var in claimStatusParams
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, trace.BadParameter("params: %v", err)
	}
	if in.Attempt.Owner != c.daemon.incarnation {
		return claimStatus{State: ownerGone}, nil
	}
	return c.status(in.Attempt), nil
}

// transferStreams requests, for each stream that this daemon appends to, that the next
// appender reads the stream in advance, so that the read does not delay the first
// record there. It runs after the daemon has begun to refuse records from its peers.
func (c *claims) transferStreams(ctx context.Context) {
	for stream := range c.partitions {
		next := claim.FirstAppender(stream, c.liveAddresses())
		local := c.daemon.settings.Listen.Peer
		if next == "" || claim.FirstAppender(stream, []string{local, next}) != local {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, claimStatusTimeout)
		var result claimResult
		err := c.daemon.deps.Peers(next).Call(ctx, methodClaimAppend, claimAppendParams{Stream: stream}, &result)
		cancel()
		if err != nil {
			// Without the transfer, the next appender reads the stream when it
			// receives its first record.
			c.daemon.log.Debug("claim stream not transferred", zap.String("stream", stream), zap.Error(err))
		}
	}
}

// isListed reports whether the VM list shows a daemon with the given peer address.
func (c *claims) isListed(address string) bool {
	for _, vm := range c.daemon.fleet.daemons() {
		if vm.PeerAddress == address {
			return true
		}
	}
	return false
}
