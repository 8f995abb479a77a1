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
	// maxRemoteAppenders is the number of appenders, in rendezvous order, that are tried
	// before a daemon appends itself.
	maxRemoteAppenders = 2
	// claimPeerTimeout bounds one call to an appender. It exceeds claimSettle, so
	// that an appender that looks for its append can still answer.
	claimPeerTimeout = claimSettleTimeout + time.Second
	// claimStatusTimeout bounds the question to the owner of a claim.
	claimStatusTimeout = time.Second
	// claimPeerBackoff is how long an appender that failed is passed over.
	claimPeerBackoff = 5 * time.Second
)

// claimAppendParams are the parameters of claim.append. A call without a record
// makes the daemon read the stream, in preparation for its records.
type claimAppendParams struct {
	Stream string        `json:"stream"`
	Record *claim.Record `json:"record,omitempty"`
}

// claimStatusParams are the parameters of claim.status.
type claimStatusParams struct {
	Attempt claim.Attempt `json:"attempt"`
}

// ownerState is what the owner of a claim says of it.
type ownerState string

const (
	// ownerGone means that another incarnation answered at the owner's address.
	ownerGone ownerState = "gone"
	// ownerRunning means that the call runs, or that its claim is being withdrawn.
	ownerRunning ownerState = "running"
	// ownerAnswered means that the call was answered; the record of it may follow.
	ownerAnswered ownerState = "answered"
	// ownerFailed means that the call was sent and that no answer arrived.
	ownerFailed ownerState = "failed"
	// ownerUnreachable means that nobody answered.
	ownerUnreachable ownerState = "unreachable"
)

// claimStatus is the answer of claim.status.
type claimStatus struct {
	State  ownerState            `json:"state"`
	Answer *port.ServiceResponse `json:"answer,omitempty"`
}

// liveAddresses returns the peer addresses of daemons that the VM list shows as live,
// except this one while it stops.
func (c *claims) liveAddresses() []string {
	var out []string
	own := c.daemon.settings.Listen.Peer
	for _, vm := range c.daemon.fleet.daemons() {
		if vm.State == port.VMLive && vm.PeerAddress != "" && vm.PeerAddress != own {
			out = append(out, vm.PeerAddress)
		}
	}
	if !c.daemon.stopping.Load() {
		out = append(out, own)
	}
	return out
}

// isAppender tells whether this daemon is the appender of a stream.
func (c *claims) isAppender(stream string) bool {
	return claim.FirstAppender(stream, c.liveAddresses()) == c.daemon.settings.Listen.Peer
}

// appenders returns the addresses to submit a record to, in order. The daemon
// itself is always among them: in its place, or last.
func (c *claims) appenders(stream string) []string {
	own := c.daemon.settings.Listen.Peer
	var out []string
	peers, self := 0, false
	for _, address := range claim.Appenders(stream, c.liveAddresses()) {
		switch {
		case peers == maxRemoteAppenders:
			// This daemon comes last if it was not met by now.
		case address == own:
			out = append(out, own)
			self = true
		case !c.inBackoff(address):
			out = append(out, address)
			peers++
		}
	}
	if !self {
		out = append(out, own)
	}
	return out
}

func (c *claims) inBackoff(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.backoffUntil[address])
}

func (c *claims) startBackoff(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backoffUntil[address] = time.Now().Add(claimPeerBackoff)
}

// submit brings a record to the log through the partition's appender, the next one
// or this daemon. It returns the first verdict of the log. Otherwise the verdict
// is uncertain if any of them may have appended the record.
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
	// The peer may have received the record whatever the error says.
	return claimResult{Decision: decisionUncertain}
}

// serveAppend answers claim.append. A stopping daemon appends for others no more.
func (c *claims) serveAppend(ctx context.Context, params json.RawMessage) (any, error) {
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

// queryOwner asks the owner of a claim what became of it.
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

func (c *claims) serveStatus(_ context.Context, params json.RawMessage) (any, error) {
	var in claimStatusParams
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, trace.BadParameter("params: %v", err)
	}
	if in.Attempt.Owner != c.daemon.incarnation {
		return claimStatus{State: ownerGone}, nil
	}
	return c.status(in.Attempt), nil
}

// transferStreams tells the next appender of each stream that this daemon appends for to
// read it, so that its first record does not wait for that. It runs once the daemon
// refuses records of its peers.
func (c *claims) transferStreams(ctx context.Context) {
	for stream := range c.partitions {
		next := claim.FirstAppender(stream, c.liveAddresses())
		own := c.daemon.settings.Listen.Peer
		if next == "" || claim.FirstAppender(stream, []string{own, next}) != own {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, claimStatusTimeout)
		var result claimResult
		err := c.daemon.deps.Peers(next).Call(ctx, methodClaimAppend, claimAppendParams{Stream: stream}, &result)
		cancel()
		if err != nil {
			// The next appender reads the stream when it gets its first record.
			c.daemon.log.Debug("claim stream not handed over", zap.String("stream", stream), zap.Error(err))
		}
	}
}

// isListed tells whether the VM list shows a daemon with the given peer address.
func (c *claims) isListed(address string) bool {
	for _, vm := range c.daemon.fleet.daemons() {
		if vm.PeerAddress == address {
			return true
		}
	}
	return false
}
