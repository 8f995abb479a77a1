package load

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// sendConfirmation sends a non-repeatable call with an idempotency key. Some callers send
// it twice, either at the same time or again after the first sending has ended.
func (c *caller) sendConfirmation(ctx context.Context, result *Result) {
	key := fmt.Sprintf("%d-%s", time.Now().Unix(), c.id)
	result.Key = key
	resend := c.rng.Float64() < c.kind.ResendShare
	atOnce := c.rng.IntN(2) == 0
	second := c.duplicate()
	var secondResult Result
	var secondBody []byte
	var group sync.WaitGroup
	if resend && atOnce {
		group.Go(func() { secondBody = second.sendUntilFinal(ctx, &secondResult, second.buildKeyed(key)) })
	}
	body := c.sendUntilFinal(ctx, result, c.buildKeyed(key))
	// A caller that timed out does not send again.
	if resend && !atOnce && ctx.Err() == nil {
		secondBody = second.sendUntilFinal(ctx, &secondResult, second.buildKeyed(key))
	}
	group.Wait()
	if second.attempts > 0 {
		c.attempts += second.attempts
		mergeEnds(result, body, secondResult, secondBody)
	}
}

// duplicate returns a caller that sends the same call a second time.
func (c *caller) duplicate() *caller {
	second := *c
	second.rng = rand.New(rand.NewPCG(c.rng.Uint64(), c.rng.Uint64()))
	return &second
}

// buildKeyed returns a function that builds attempts with an idempotency key.
func (c *caller) buildKeyed(key string) func() request {
	return func() request {
		r := request{
			method: http.MethodPost,
			url:    c.nextURL() + c.kind.Path,
			header: c.header(),
			body:   fmt.Appendf(nil, `{"delivery":%q}`, c.id),
		}
		r.header.Set(headerKey, key)
		return r
	}
}

// mergeEnds combines the ends of a call that was sent twice. Two answers must be equal.
// An answer has precedence over a refusal, because the caller received it.
func mergeEnds(result *Result, body []byte, second Result, secondBody []byte) {
	switch {
	case result.End == Lost:
	case second.End == Lost:
		result.End, result.Detail = Lost, "second sending: "+second.Detail
	case result.End == Answered && second.End == Answered:
		if !bytes.Equal(body, secondBody) {
			result.End = Lost
			result.Detail = fmt.Sprintf("second sending was answered %q, first %q", secondBody, body)
		}
	case second.End == Answered, result.End == NotRun && second.End == Unknown:
		result.End, result.Detail = second.End, second.Detail
	}
}
