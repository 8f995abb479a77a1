package gateway

import (
	"context"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/clock"
)

const (
	// versionPollInterval is how often a stream that waits for an engine of its software version looks
	// for one.
	versionPollInterval = 50 * time.Millisecond
	// versionWaitMargin is the part of the time that a client waits for an event that is left for the
	// prefill at an engine that was found.
	versionWaitMargin = 150 * time.Millisecond
)

// awaitVersion waits for an engine of the software version that began the stream, if all of them are
// down or avoided at the moment. No other engine can continue the stream, and a client whose stream ends
// here needs the same engines. It returns false if there is nothing to wait for, or not before the client
// leaves.
func (c *call) awaitVersion(ctx context.Context) bool {
	if c.version == "" {
		return false
	}
	fleet := c.gateway.fleet
	since := c.request.Received
	if c.lastEventAt.After(since) {
		since = c.lastEventAt
	}
	end := since.Add(c.silenceLimit() - versionWaitMargin)
	if end.After(c.deadline) {
		end = c.deadline
	}
	began := time.Now()
	for ; ctx.Err() == nil && time.Now().Before(end); clock.Sleep(ctx, versionPollInterval) {
		c.readmitRunners()
		c.gateway.processes.want()
		q := c.placementQuery()
		if fleet.DecodeUsable(time.Now(), q) {
			c.logStep("waited %s for version %s", time.Since(began).Round(time.Millisecond), c.version)
			return true
		}
		if !fleet.VersionPresent(q.Service, q.Version) {
			return false
		}
	}
	return false
}

// registryLag is how long after the start of a runner its entry shows in a list that is read then.
const registryLag = time.Second

// runnerFailure is when a runner failed a request, and the start of its process then, in Unix
// milliseconds.
type runnerFailure struct {
	startedMS int64
	at        time.Time
}

// readmitRunners ends the exclusion of runners that have started anew, and of those that still run the
// same process by a list that was read well after they failed the request.
func (c *call) readmitRunners() {
	for id, f := range c.failed {
		start, known := c.gateway.fleet.StartOf(id)
		if known && (start != f.startedMS || c.gateway.discovery.confirmedSince(f.at.Add(registryLag)) && !c.gateway.fleet.InDoubt(id)) {
			delete(c.excluded, id)
			delete(c.failed, id)
		}
	}
}
