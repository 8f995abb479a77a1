package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"bergamotsill.example/bergamotsill/internal/placement"
	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// firstTryShare is the part of the objective that a first attempt of a repeatable
	// call may take, so that a second one can still meet the objective.
	firstTryShare = 0.6
	// maxAnswerBytes bounds the answers that are read before they are passed on.
	maxAnswerBytes = 16 << 20
	// answerStep is how much memory an answer takes at a time while it is read.
	answerStep = 16 << 10
)

// servePlain passes a call on to a plain service. The answer is read completely before
// it is passed on, so that an incomplete one never looks complete.
func (c *call) servePlain(ctx context.Context) {
	for {
		plan, ok := c.gateway.fleet.Place(time.Now(), c.query())
		if !ok {
			c.fail(ctx, errNoRunner)
			return
		}
		if !c.beginSend() {
			plan.Run.End(time.Now(), placement.Abandoned)
			c.fail(ctx, errRetryLimit)
			return
		}
		answer, body, err := c.tryPlain(ctx, plan.Run)
		if err == nil {
			c.gateway.crashes.answered(c.digest)
			c.deliver(answer, body)
			return
		}
		c.noteLoss(err, plan.Run.Runner())
		c.exclude(plan.Run.Runner())
		if !c.mayRetry(ctx, err) {
			c.fail(ctx, err)
			return
		}
	}
}

// errRetryLimit reports that all daemons together have retried enough.
var errRetryLimit = errors.New("limit of retries reached")

// errRunnerFailed reports an answer of a runner that says that it failed.
var errRunnerFailed = errors.New("runner answered with a server error")

// tryPlain sends the call to one runner. A server error is returned as an answer unless
// another attempt may follow.
func (c *call) tryPlain(ctx context.Context, work *placement.InFlightRequest) (*port.ForwardResponse, []byte, error) {
	runner := work.Runner()
	attempt, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := &stallWatch{}
	if c.sends == 1 && c.retryable() {
		watch = c.watchStall(cancel, runner.ID, time.Duration(firstTryShare*float64(c.route.Target)))
	}
	defer watch.stop()
	c.step("run at %s", runner.ID)
	answer, err := c.gateway.runners.Run(attempt, runner, c.request, port.RunOptions{
		Remaining: c.remaining(),
		MaxIdle:   c.maxIdle(),
	})
	var body []byte
	if err == nil {
		body, err = c.readAnswer(answer)
	}
	if err != nil && errors.Is(context.Cause(attempt), errStalled) {
		err = errors.Join(errStalled, err)
	}
	failed := err == nil && answer.Status >= http.StatusInternalServerError
	if failed {
		c.step("status %d", answer.Status)
		work.End(time.Now(), placement.Failed)
		if c.retryable() {
			return nil, nil, errRunnerFailed
		}
		return answer, body, nil
	}
	work.End(time.Now(), outcomeOf(ctx, err))
	if err != nil {
		c.step("%v", err)
	}
	return answer, body, err
}

// maxIdle returns how long a connection may have been idle for this request.
func (c *call) maxIdle() time.Duration {
	switch {
	case c.route.Repeatable():
		return idleRepeatable
	case c.route.Repeat == port.RepeatStream:
		return idleStream
	}
	return 0
}

// errAnswerMemory reports that answers take all the memory that they may.
var errAnswerMemory = errors.New("memory for answers is taken")

// readAnswer reads a whole body. Its memory counts as taken until the call ends.
func (c *call) readAnswer(answer *port.ForwardResponse) ([]byte, error) {
	// After a complete body, closing has no effect.
	defer func() { _ = answer.Body.Close() }()
	var body []byte
	for {
		if len(body) == cap(body) {
			grown := slices.Grow(body, answerStep)
			if !c.takeMemory(int64(cap(grown) - cap(body))) {
				return nil, errAnswerMemory
			}
			body = grown
		}
		n, err := answer.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, errors.Join(errInterrupted, err)
		case len(body) > maxAnswerBytes:
			return nil, port.ErrSpoiled
		}
	}
}

// takeMemory counts bytes of an answer. It returns false when answers take all the memory
// that they may.
func (c *call) takeMemory(bytes int64) bool {
	c.answerBytes += bytes
	used := c.gateway.answers.Add(bytes)
	memory := c.gateway.settings.Load().MemoryBytes
	return memory <= 0 || float64(used) <= answerShare*float64(memory)
}

// releaseMemory gives back what the answers of the call took.
func (c *call) releaseMemory() {
	c.gateway.answers.Add(-c.answerBytes)
	c.answerBytes = 0
}

// deliver passes on a complete answer.
func (c *call) deliver(answer *port.ForwardResponse, body []byte) {
	c.runs++
	c.first = time.Since(c.request.Received)
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.copyHead(answer)
	// A failed write means that the client is gone.
	_, err := c.writer.Write(body)
	c.finish("answered", answer.Status, err)
}
