package daemon

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/adapter/exchange"
	"bergamotsill.example/bergamotsill/internal/adapter/forwarding"
	"bergamotsill.example/bergamotsill/internal/membership"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/refusal"
	"bergamotsill.example/bergamotsill/internal/routing"
)

const (
	// maxReceivers is the number of daemons to which a call is handed one after another.
	maxReceivers = 2
	// declineTime is how long a daemon that did not take a call gets none for the same pool.
	declineTime = time.Second
	// reachProbeInterval is the time between two probes of a pool that was not reached, and reachProbes the
	// number of its upstreams that each one tries.
	reachProbeInterval = time.Second
	reachProbes        = 3
	// receiverDialTimeout bounds the opening of a connection to a receiver.
	receiverDialTimeout = 500 * time.Millisecond
	// maxRelayedBytes bounds a response that is relayed whole.
	maxRelayedBytes = 16 << 20
	// relayBufferBytes is the size of the pieces in which a stream is relayed.
	relayBufferBytes = 16 << 10
)

// errRelayBroken ends a stream that broke off at the daemon that served the call.
var errRelayBroken = errors.New("response of the receiving daemon ended early")

// receivers hands calls to daemons that reach the upstreams of a pool, if this one does not. It is safe for
// concurrent use.
type receivers struct {
	daemon *Daemon
	client *forwarding.Client

	mu sync.Mutex
	// declined holds until when daemons get no calls for a pool.
	declined map[receiverPool]time.Time
	// unreached holds the pools that this daemon does not reach, and when each was last probed.
	unreached map[string]time.Time
	// chosen counts the choices, so that calls spread over the daemons.
	chosen int
}

// receiverPool is a daemon, by VM id, and a pool.
type receiverPool struct{ daemon, pool string }

func newReceivers(d *Daemon) *receivers {
	client := forwarding.NewClient(exchange.NewClient(d.deps.CallerNetwork, receiverDialTimeout), func(port.Runner, *exchange.Response) {})
	return &receivers{daemon: d, client: client, declined: map[receiverPool]time.Time{}, unreached: map[string]time.Time{}}
}

// isUnreached reports whether the upstreams of a pool are not reached. It probes them from time to time.
func (r *receivers) isUnreached(pool string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	probed, unreached := r.unreached[pool]
	if unreached && time.Since(probed) >= reachProbeInterval {
		r.unreached[pool] = time.Now()
		go r.probe(pool)
	}
	return unreached
}

// setReached records whether an upstream of a pool was reached.
func (r *receivers) setReached(pool string, reached bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reached {
		delete(r.unreached, pool)
		return
	}
	r.unreached[pool] = time.Now()
}

// probe tries to reach some upstreams of a pool.
func (r *receivers) probe(pool string) {
	ctx, cancel := context.WithTimeout(r.daemon.context(), reachProbeInterval)
	defer cancel()
	upstreams := slices.Clone(r.daemon.fleet.Table().Pool(pool))
	r.mu.Lock()
	r.chosen++
	first := r.chosen
	r.mu.Unlock()
	for i := range min(reachProbes, len(upstreams)) {
		u := upstreams[(first+i)%len(upstreams)]
		go func() {
			if reaches(ctx, u) {
				r.setReached(pool, true)
				cancel()
			}
		}()
	}
	<-ctx.Done()
}

// reaches reports whether an upstream answers.
func reaches(ctx context.Context, u *routing.Upstream) bool {
	if u.Engine != nil {
		_, err := u.Engine.Status(ctx)
		return err == nil
	}
	conn, err := u.Service.Open(ctx)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// choose returns a living daemon that is not in tried, preferably of this data centre, or nil.
func (r *receivers) choose(pool string, tried map[string]bool) *port.VM {
	alive := map[string]bool{}
	for _, m := range r.daemon.gossip.Members() {
		alive[m.Address] = m.Status == membership.Alive
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	candidates := slices.DeleteFunc(r.daemon.fleet.peerDaemons(), func(vm port.VM) bool {
		return !alive[vm.PeerAddress] || tried[vm.ID] || now.Before(r.declined[receiverPool{vm.ID, pool}])
	})
	isLocal := func(vm port.VM) bool { return vm.DataCentre == r.daemon.settings.DataCentre }
	if slices.ContainsFunc(candidates, isLocal) {
		candidates = slices.DeleteFunc(candidates, func(vm port.VM) bool { return !isLocal(vm) })
	}
	if len(candidates) == 0 {
		return nil
	}
	r.chosen++
	return &candidates[r.chosen%len(candidates)]
}

// decline records that a daemon did not take a call for a pool.
func (r *receivers) decline(vm, pool string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.declined[receiverPool{vm, pool}] = time.Now().Add(declineTime)
}

// mayHandOver reports whether a call that failed with err may be handed to another daemon: no upstream has
// received it, and it has not been handed over before.
func (c *call) mayHandOver(err error) bool {
	var r *refusal.Error
	if c.handedOver != nil || c.pool == "" || !errors.As(err, &r) || r.Outcome != refusal.NotRun {
		return false
	}
	return r.Code == refusal.NoUpstream || r.Code == refusal.Incomplete
}

// serveAnywhere serves a call, or lets another daemon serve it if this one reaches no upstream.
func (d *Daemon) serveAnywhere(ctx context.Context, w http.ResponseWriter, c *call, handle callHandler) error {
	err := d.tryUpstreams(ctx, w, c, handle)
	handedErr := d.handOver(ctx, w, c, err)
	if !c.skipped || handedErr != err {
		return handedErr
	}
	return d.tryUpstreams(ctx, w, c, handle)
}

// tryUpstreams serves a call with the upstreams that this daemon reaches, and records whether it reaches
// any.
func (d *Daemon) tryUpstreams(ctx context.Context, w http.ResponseWriter, c *call, handle callHandler) error {
	err := handle(ctx, w, c)
	switch {
	case c.pool == "" || c.skipped:
	case err == nil:
		d.receivers.setReached(c.pool, true)
	case c.mayHandOver(err):
		d.receivers.setReached(c.pool, false)
	}
	return err
}

// need sets the pool that a call needs and the longest time that it may take. If the pool is not reached, it
// returns a refusal: the call is to be handed over first, or declined if another daemon has handed it over.
func (d *Daemon) need(c *call, pool string, limit time.Duration) error {
	c.pool, c.limit = pool, limit
	triedReceivers := c.skipped
	c.skipped = false
	if triedReceivers || !d.receivers.isUnreached(pool) {
		return nil
	}
	c.skipped = c.handedOver == nil
	return refusal.New(refusal.NoUpstream, "no upstream of pool %q is reached", pool).ForAttempt().WithRetryAfter(time.Second)
}

// handOver hands a call that failed with err to daemons that may reach an upstream, until one takes it,
// and relays the response. It returns err if none does.
func (d *Daemon) handOver(ctx context.Context, w http.ResponseWriter, c *call, err error) error {
	if !c.mayHandOver(err) {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, c.started.Add(c.limit))
	defer cancel()
	header := port.EndToEnd(c.request.Header)
	header.Set(refusal.HeaderRequestID, c.id)
	request := &port.ForwardRequest{Method: c.request.Method, Host: c.request.Host, Target: c.request.URL.RequestURI(), Header: header, Body: c.body}
	tried := map[string]bool{}
	for range maxReceivers {
		to := d.receivers.choose(c.pool, tried)
		if to == nil {
			return err
		}
		tried[to.ID] = true
		note := port.Handover{From: d.settings.Name, ElapsedMS: time.Since(c.started).Milliseconds()}
		response, sendErr := d.receivers.client.Forward(ctx, to.Address, request, note)
		if errors.Is(sendErr, port.ErrNotSent) || errors.Is(sendErr, port.ErrDeclined) {
			c.log.Info("daemon does not take the call", zap.String("receiver", to.ID), zap.Error(sendErr))
			d.metrics.Handovers.Add("declined", 1)
			d.receivers.decline(to.ID, c.pool)
			continue
		}
		if sendErr == nil {
			sendErr = relayResponse(w, c.request.Method, response)
		}
		if sendErr != nil {
			c.log.Warn("handover failed", zap.String("receiver", to.ID), zap.Error(sendErr))
			d.metrics.Handovers.Add("failed", 1)
			var partial *partialResponseError
			if errors.As(sendErr, &partial) {
				return sendErr
			}
			return refusal.NewUnknown(refusal.OutcomeUnknown, "the daemon that received the call did not complete the response")
		}
		c.log.Info("call handed over", zap.String("receiver", to.ID), zap.Int("status", response.Status))
		d.metrics.Handovers.Add("answered", 1)
		c.relayed = true
		return nil
	}
	return err
}

// relayResponse forwards the response of another daemon: a stream as it arrives, anything else whole. It
// returns a partialResponseError if the response has begun.
func relayResponse(w http.ResponseWriter, method string, response *port.ForwardResponse) error {
	// After a complete body, closing has no effect.
	defer func() { _ = response.Body.Close() }()
	stream := strings.HasPrefix(response.Header.Get("Content-Type"), eventStreamType)
	var body []byte
	if !stream {
		var err error
		if body, err = io.ReadAll(io.LimitReader(response.Body, maxRelayedBytes+1)); err != nil {
			return err
		}
		if len(body) > maxRelayedBytes {
			return port.ErrInvalidResponse
		}
		if method != http.MethodHead {
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		}
	}
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.Status)
	if !stream {
		// A failed write means that the caller disconnected.
		_, _ = w.Write(body)
		return nil
	}
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if sendErr := sendFlushed(w, buffer[:n]); sendErr != nil {
				return &partialResponseError{err: sendErr}
			}
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return &partialResponseError{err: errors.Join(errRelayBroken, err)}
		}
	}
}

// acceptHandover reads what another daemon says of a call that it hands over.
func (d *Daemon) acceptHandover(c *call) {
	if !forwarding.HasNote(c.request) {
		return
	}
	note, err := forwarding.ReadNote(c.request)
	if err != nil {
		c.log.Warn("handover cannot be decoded", zap.Error(err))
		return
	}
	c.handedOver = note
	c.started = c.started.Add(-time.Duration(note.ElapsedMS) * time.Millisecond)
	d.metrics.Handovers.Add("received", 1)
}

// declineHandover lets the sender of a call try another daemon, if this one refuses it for a reason of its
// own.
func (c *call) declineHandover(w http.ResponseWriter, r *refusal.Error) {
	own := r.Code == refusal.NoUpstream || r.Code == refusal.Stopping || r.Code == refusal.NotReady
	if c.handedOver != nil && own && r.Outcome == refusal.NotRun {
		forwarding.Decline(w.Header(), string(r.Code))
	}
}
