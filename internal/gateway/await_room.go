package gateway

import (
	"context"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/clock"
)

// roomPollInterval is how often a stream that waits for room at the engines of its software version looks for it.
const roomPollInterval = 50 * time.Millisecond

// awaitRoom waits until the engines of the version that began the stream have room, by what this daemon knows of their load. Unlike
// a new stream, it cannot run elsewhere, and its slot may be free although the daemon that held it has not been found to be
// gone yet. awaitRoom returns errSaturated if too many streams wait, or once the client would leave before the first event.
func (c *call) awaitRoom(ctx context.Context) error {
	fleet := c.gateway.fleet
	ticket, ok := fleet.QueueForRoom(time.Now(), c.placementQuery())
	if !ok {
		c.logStep("too many streams wait for room at engines of version %s", c.version)
		return errSaturated
	}
	c.roomTicket = ticket
	c.gateway.metrics.takeUps.Add("room-awaited", 1)
	began := time.Now()
	for c.wanted() && ctx.Err() == nil && c.clientTimeout() > c.predictedFirstEvent+versionWaitMargin {
		q := c.placementQuery()
		// Without a usable engine, the stream waits for one instead; see awaitVersion.
		if ticket.Admitted(time.Now(), q) || !fleet.DecodeUsable(time.Now(), q) {
			c.logStep("waited %s for room at engines of version %s", time.Since(began).Round(time.Millisecond), c.version)
			return nil
		}
		clock.Sleep(ctx, roomPollInterval)
	}
	return errSaturated
}

// leaveRoomQueue ends the wait for room. running is set if the stream now occupies a slot.
func (c *call) leaveRoomQueue(running bool) {
	if c.roomTicket != nil {
		c.roomTicket.Leave(running)
	}
}
