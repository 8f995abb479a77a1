package gateway

import (
	"context"
	"errors"
	"time"

	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
)

// provesNotExecuted reports whether err proves that the runner did not execute a request or
// role order.
func provesNotExecuted(err error) bool {
	return errors.Is(err, port.ErrNotSent) || errors.Is(err, port.ErrNotRun) ||
		errors.Is(err, port.ErrWrongInstance) || errors.Is(err, port.ErrKVCacheUnavailable)
}

// placementOutcome maps the error of an attempt to the outcome that the placement model
// records.
func placementOutcome(ctx context.Context, err error) placement.Outcome {
	switch {
	case err == nil:
		return placement.Completed
	case errors.Is(err, port.ErrConnectionLimit), errors.Is(err, errProcessReplaced):
		return placement.Unsent
	case errors.Is(err, port.ErrWrongInstance):
		return placement.Misdirected
	case errors.Is(err, port.ErrKVCacheUnavailable) || errors.Is(err, errResponseMemory):
		return placement.Abandoned
	case errors.Is(err, port.ErrNotRun):
		return placement.Refused
	case errors.Is(err, errRunnerFailed) || errors.Is(err, port.ErrErrorStatus):
		return placement.Erred
	case ctx.Err() != nil && !errors.Is(err, errStalled):
		return placement.Abandoned
	}
	return placement.Failed
}

// endAttempt ends an attempt with an outcome. A failure counts against its runner, here and at the other
// daemons, once it is certain that it is not this daemon that reaches no runner.
func (g *Gateway) endAttempt(inFlight *placement.InFlightRequest, outcome placement.Outcome) {
	if outcome != placement.Failed {
		inFlight.End(time.Now(), outcome)
		return
	}
	inFlight.End(time.Now(), placement.NoContact)
	g.processes.verify(inFlight.Runner())
	g.confirmFailure(inFlight)
}

// confirmFailure counts a recorded failure of a request once it is certain that it is the runner's.
func (g *Gateway) confirmFailure(inFlight *placement.InFlightRequest) {
	g.reach.confirm(inFlight.Runner().Service, func() { inFlight.CountFailure(time.Now()) })
}

// recordRefused confirms the losses of connections to a runner that refuses new ones, once it is certain that it is not this daemon
// that reaches no runner.
func (g *Gateway) recordRefused(r port.Runner) {
	g.reach.confirm(r.Service, func() { g.crashes.confirmRefused(r.ID, time.Now()) })
}

// recordSilence records that a stream has received no events since a time.
func (g *Gateway) recordSilence(inFlight *placement.InFlightRequest, now, since time.Time) {
	inFlight.RecordSilence(now)
	g.reach.record(inFlight.Runner(), port.ContactSilent, since)
	g.confirmFailure(inFlight)
}
