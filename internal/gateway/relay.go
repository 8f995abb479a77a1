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
	// relayBuffer is the size of the first buffer for events.
	relayBuffer = 4 << 10
	// maxEventBytes bounds one event, and the comments before the first one. Many streams
	// may reach it at once.
	maxEventBytes = 256 << 10
)

// eventEnds are the blank lines that end an event (HTML standard, section 9.2.6).
var eventEnds = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}

// wholeEvents returns the length of the complete events at the start of data.
func wholeEvents(data []byte) int {
	end := 0
	for _, mark := range eventEnds {
		if i := bytes.LastIndex(data, mark); i >= 0 {
			end = max(end, i+len(mark))
		}
	}
	return end
}

// carriesEvent tells whether whole blocks hold more than comments and blank lines.
func carriesEvent(blocks []byte) bool {
	for line := range bytes.Lines(blocks) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// relay delivers the events of a stream as they arrive, each one whole, so that a
// stream that breaks inside an event can go on after the last whole one.
func (c *call) relay(work *placement.InFlightRequest, answer *port.ForwardResponse, watch *stallWatch) error {
	// After a complete body, closing has no effect.
	defer func() { _ = answer.Body.Close() }()
	buffer := make([]byte, 0, relayBuffer)
	for {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		n, err := answer.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if whole := wholeEvents(buffer); whole > 0 {
			// Comments alone are passed on, but they are no progress, and they do not begin
			// an answer.
			events := carriesEvent(buffer[:whole])
			if events {
				watch.progress()
				c.noteEvents(work)
			}
			if events || c.delivering {
				if sendErr := c.deliverEvents(answer, buffer[:whole]); sendErr != nil {
					return sendErr
				}
				buffer = append(buffer[:0], buffer[whole:]...)
			}
		}
		switch {
		case err == io.EOF:
			return c.endStream(work, answer, buffer)
		case err != nil:
			return errors.Join(errInterrupted, err)
		case len(buffer) > maxEventBytes:
			return fmt.Errorf("%w: event of more than %d bytes", port.ErrSpoiled, maxEventBytes)
		}
	}
}

// noteEvents notes the arrival of events, for the log and the model of the engine.
func (c *call) noteEvents(work *placement.InFlightRequest) {
	now := time.Now()
	if !c.delivering {
		c.first = now.Sub(c.request.Received)
	} else {
		c.pause = max(c.pause, now.Sub(c.delivered))
	}
	c.delivered = now
	work.RecordEvent(now)
}

// deliverEvents passes on whole events. The head of the first runner's answer stays when
// a stream goes on at another runner.
func (c *call) deliverEvents(answer *port.ForwardResponse, events []byte) error {
	if !c.delivering {
		c.copyHead(answer)
	}
	events, last, count := newEvents(events, c.lastEvent)
	c.lastEvent = last
	c.events += count
	if len(events) == 0 {
		return nil
	}
	if _, err := c.writer.Write(events); err != nil {
		return errors.Join(errClientGone, err)
	}
	return http.NewResponseController(c.writer).Flush()
}

// endStream ends a complete stream.
func (c *call) endStream(work *placement.InFlightRequest, answer *port.ForwardResponse, rest []byte) error {
	if len(rest) > 0 {
		// The answer ended inside an event.
		return errInterrupted
	}
	if !c.delivering {
		c.copyHead(answer)
	}
	work.MarkPrefilled(time.Now())
	c.runs++
	return nil
}

// newEvents drops events up to an id, which a runner may repeat after a resume, and
// returns the others with the last id and their number.
func newEvents(events []byte, after string) (fresh []byte, last string, count int) {
	last = after
	limit, err := strconv.ParseInt(after, 10, 64)
	numbered := err == nil
	fresh = events[:0:0]
	for len(events) > 0 {
		end := nextEvent(events)
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

// nextEvent returns the length of the first event of data, which ends with an event.
func nextEvent(data []byte) int {
	end := len(data)
	for _, mark := range eventEnds {
		if i := bytes.Index(data, mark); i >= 0 {
			end = min(end, i+len(mark))
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
