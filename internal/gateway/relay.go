package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// relayBuffer is the initial size of the event buffer, in bytes.
	relayBuffer = 4 << 10
	// maxEventBytes bounds one event, and the comments before the first one. It is low enough
	// for many streams to reach it at once.
	maxEventBytes = 256 << 10
)

// eventTerminators are the blank lines that end an event (HTML standard, section 9.2.6).
var eventTerminators = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}

// completeEventsLen returns the length of the complete events at the start of data.
func completeEventsLen(data []byte) int {
	end := 0
	for _, terminator := range eventTerminators {
		if i := bytes.LastIndex(data, terminator); i >= 0 {
			end = max(end, i+len(terminator))
		}
	}
	return end
}

// containsEvent reports whether complete blocks contain more than comments and blank lines.
func containsEvent(blocks []byte) bool {
	for line := range bytes.Lines(blocks) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// relayStream forwards the events of a stream as they arrive and closes the response. It forwards
// only complete events, so that a stream that breaks inside an event can resume after the last
// complete one. It returns errInterrupted if the stream ended inside an event.
func (c *call) relayStream(inFlight *placement.InFlightRequest, response *port.ForwardResponse, monitor *stallMonitor) error {
	// After a complete body, closing has no effect.
	defer func() { _ = response.Body.Close() }()
	buffer := make([]byte, 0, relayBuffer)
	for {
		var err error
		if buffer, err = c.readMore(buffer, response.Body); errors.Is(err, errResponseMemory) {
			return err
		}
		if whole := completeEventsLen(buffer); whole > 0 {
			// Comments are forwarded, but they are not progress and do not start a response.
			events := containsEvent(buffer[:whole])
			if events {
				if !monitor.arrived() {
					return errStalled
				}
				c.recordEvents(inFlight)
			}
			if events && c.version == "" {
				c.noteOrigin(c.gateway.processes.originRunner(inFlight))
			}
			if events || c.headerWritten {
				if sendErr := c.writeEvents(response, buffer[:whole]); sendErr != nil {
					return sendErr
				}
				buffer = append(buffer[:0], buffer[whole:]...)
			}
			if events {
				monitor.await()
			}
		}
		switch {
		case err == io.EOF:
			return c.finishStream(inFlight, response, buffer, monitor)
		case err != nil:
			return errors.Join(errInterrupted, err)
		case len(buffer) > maxEventBytes:
			return fmt.Errorf("%w: event is larger than %d bytes", port.ErrInvalidResponse, maxEventBytes)
		}
	}
}

// readMore appends bytes of a body to a buffer and makes room for them. The error is errResponseMemory if
// the memory for responses is full, or that of the body.
func (c *call) readMore(buffer []byte, body io.Reader) ([]byte, error) {
	if len(buffer) == cap(buffer) {
		grown, ok := c.growBuffer(buffer, relayBuffer)
		if !ok {
			return buffer, errResponseMemory
		}
		buffer = grown
	}
	n, err := body.Read(buffer[len(buffer):cap(buffer)])
	return buffer[:len(buffer)+n], err
}

// recordEvents records the arrival of events for the log and the placement model.
func (c *call) recordEvents(inFlight *placement.InFlightRequest) {
	now := time.Now()
	if !c.headerWritten {
		c.firstEventLatency = now.Sub(c.request.Received)
	} else {
		c.longestGap = max(c.longestGap, now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
	if c.attemptEvents == 0 {
		c.gateway.crashes.recordFirstEvent(c.traits, now)
		c.countUsage()
	}
	c.attemptEvents++
	inFlight.RecordEvent(now)
}

// writeEvents forwards complete events. The response header of the first runner stays in effect
// when a stream resumes at another runner.
func (c *call) writeEvents(response *port.ForwardResponse, events []byte) error {
	if !c.headerWritten {
		c.writeResponseHeader(response)
	}
	events, last, count := eventsAfter(events, c.lastEventID)
	if last != c.lastEventID {
		c.lastEventID = last
	}
	c.eventCount += count
	if len(events) == 0 {
		return nil
	}
	if _, err := c.writer.Write(events); err != nil {
		return errors.Join(errClientDisconnected, err)
	}
	return http.NewResponseController(c.writer).Flush()
}

// finishStream ends a complete stream. It returns errInterrupted if the response ended inside an
// event, or with its connection before the first one, and errStalled if a replacement has taken over.
func (c *call) finishStream(inFlight *placement.InFlightRequest, response *port.ForwardResponse, rest []byte, monitor *stallMonitor) error {
	if len(rest) > 0 || !response.Framed && c.attemptEvents == 0 {
		return errInterrupted
	}
	if !monitor.arrived() {
		return errStalled
	}
	if !c.headerWritten {
		c.writeResponseHeader(response)
	}
	inFlight.MarkPrefilled(time.Now())
	c.executions++
	return nil
}

// eventsAfter drops the events whose id is a number not greater than the number after: a runner may
// repeat them when a stream resumes. Events without a numeric id are kept, and all events if after
// is not a number. It returns the remaining events, the last id among them (or after) and their
// number.
func eventsAfter(events []byte, after string) (fresh []byte, last string, count int) {
	last = after
	limit, err := strconv.ParseInt(after, 10, 64)
	numbered := err == nil
	fresh = events[:0:0]
	for len(events) > 0 {
		end := firstEventLen(events)
		event := events[:end]
		events = events[end:]
		id := eventID(event)
		if number, err := strconv.ParseInt(id, 10, 64); numbered && err == nil && number <= limit {
			continue
		}
		fresh = append(fresh, event...)
		count++
		if id != "" {
			last = id
		}
	}
	return fresh, last, count
}

// firstEventLen returns the length of the first event in data, which consists of complete
// events.
func firstEventLen(data []byte) int {
	end := len(data)
	for _, terminator := range eventTerminators {
		if i := bytes.Index(data, terminator); i >= 0 {
			end = min(end, i+len(terminator))
		}
	}
	return end
}

// eventID returns the value of the id field of an event, or an empty string.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
