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

// confirm sends a non-repeatable call under one key. Some callers send it twice,
// either at the same time through two daemons or again after the answer.
func (c *caller) confirm(ctx context.Context, result *Result) {
	key := fmt.Sprintf("%d-%s", time.Now().Unix(), c.id)
	result.Key = key
	resend := c.rng.Float64() < c.kind.ResendShare
	atOnce := c.rng.IntN(2) == 0
	second := c.duplicate()
	var other Result
	var otherBody []byte
	var group sync.WaitGroup
	if resend && atOnce {
		group.Go(func() { otherBody = second.until(ctx, &other, second.keyed(key)) })
	}
	body := c.until(ctx, result, c.keyed(key))
	// A caller that has no time left does not send again.
	if resend && !atOnce && ctx.Err() == nil {
		otherBody = second.until(ctx, &other, second.keyed(key))
	}
	group.Wait()
	if second.attempts > 0 {
		c.attempts += second.attempts
		merge(result, body, other, otherBody)
	}
}

// duplicate returns a caller for the second sending of the same call.
func (c *caller) duplicate() *caller {
	second := *c
	second.rng = rand.New(rand.NewPCG(c.rng.Uint64(), c.rng.Uint64()))
	return &second
}

// keyed returns a function that builds attempts with an idempotency key.
func (c *caller) keyed(key string) func() request {
	return func() request {
		r := request{
			method: http.MethodPost,
			url:    c.next() + c.kind.Path,
			header: c.header(),
			body:   fmt.Appendf(nil, `{"delivery":%q}`, c.id),
		}
		r.header.Set(headerKey, key)
		return r
	}
}

// merge combines the ends of a call that was sent twice. Two answers must be
// equal; an answer outweighs a refusal, since the caller has it.
func merge(result *Result, body []byte, other Result, otherBody []byte) {
	switch {
	case result.End == Lost:
	case other.End == Lost:
		result.End, result.Detail = Lost, "second sending: "+other.Detail
	case result.End == Answered && other.End == Answered:
		if !bytes.Equal(body, otherBody) {
			result.End = Lost
			result.Detail = fmt.Sprintf("second sending was answered %q, first %q", otherBody, body)
		}
	case other.End == Answered, result.End == NotRun && other.End == Unknown:
		result.End, result.Detail = other.End, other.Detail
	}
}
