package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/clock"
	"bergamotsill.example/bergamotsill/internal/profile"
	"bergamotsill.example/bergamotsill/internal/refusal"
	"bergamotsill.example/bergamotsill/internal/standin"
)

const (
	// callTimeout bounds a call with all its attempts.
	callTimeout = 12 * time.Second
	// resendDelay is the delay before a call is sent again after a connection error, or
	// after a refusal without a delay.
	resendDelay = 100 * time.Millisecond
	// maxRetryAfter bounds the delay requested by a refusal, because the next attempt
	// goes to another daemon.
	maxRetryAfter = 500 * time.Millisecond
)

// caller sends one call until it receives an answer or a final refusal, or times out.
type caller struct {
	client  *http.Client
	daemons []string
	rng     *rand.Rand
	kind    *Kind
	profile *profile.Profile
	id      string
	serial  int

	// lastDaemon is the index of the daemon that received the last attempt.
	lastDaemon int
	attempts   int
	// lastRefusal is the refusal of the newest attempt, nil if that attempt ended without
	// one. An attempt that callTimeout ended does not change it.
	lastRefusal *refusal.BodyError
	// noReply is set if some attempt ended without a complete reply, so that its outcome
	// is unknown.
	noReply bool
	// timedOut is set if callTimeout ended the newest attempt.
	timedOut bool
}

// run sends the call and returns how it ended.
func (c *caller) run(ctx context.Context) Result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.lastDaemon = c.rng.IntN(len(c.daemons))
	result := Result{Call: c.id, Kind: c.kind.Name}
	if c.kind.Interface == Confirmation {
		c.sendConfirmation(ctx, &result)
	} else {
		c.sendUntilFinal(ctx, &result, c.buildRequest)
	}
	result.Attempts = c.attempts
	return result
}

// nextURL returns the base URL of a random daemon other than the last one.
func (c *caller) nextURL() string {
	c.lastDaemon = (c.lastDaemon + 1 + c.rng.IntN(max(1, len(c.daemons)-1))) % len(c.daemons)
	return "http://" + c.daemons[c.lastDaemon]
}

// sendUntilFinal repeats attempts until one is final or ctx ends. It sets the end of the
// call in result and returns the body of the answer.
func (c *caller) sendUntilFinal(ctx context.Context, result *Result, build func() request) []byte {
	detail := "no daemon was reached"
	for ctx.Err() == nil {
		c.attempts++
		got := send(ctx, c.client, build())
		end, why := c.classify(got)
		if end != "" {
			result.End, result.Detail = end, why
			return got.body
		}
		detail = why
		c.recordAttempt(ctx, got.refusal)
		clock.Sleep(ctx, retryDelay(got.refusal))
	}
	result.End, result.Detail = c.endWithoutAnswer(c.lastRefusal), detail
	return nil
}

// recordAttempt records how an attempt ended. An attempt that was cancelled by
// callTimeout does not change lastRefusal.
func (c *caller) recordAttempt(ctx context.Context, r *refusal.BodyError) {
	switch {
	case r != nil:
		c.lastRefusal = r
	case ctx.Err() == nil:
		c.lastRefusal = nil
		c.noReply = true
	default:
		c.noReply, c.timedOut = true, true
	}
}

// endWithoutAnswer returns the end of a call that timed out or was finally refused,
// derived from the last refusal.
func (c *caller) endWithoutAnswer(last *refusal.BodyError) End {
	switch {
	case last == nil:
		return Lost
	case last.Outcome == refusal.Unknown:
		return Unknown
	case c.timedOut, last.Scope == refusal.ScopeAttempt && c.noReply:
		return Unknown
	}
	return NotRun
}

// classify returns the end of the call after a reply, with its detail. The End is empty
// if the caller sends the call again.
func (c *caller) classify(r reply) (End, string) {
	if r.err != nil {
		return "", r.err.Error()
	}
	if r.refusal != nil {
		return c.classifyRefusal(r.refusal)
	}
	if r.status != http.StatusOK {
		return Lost, fmt.Sprintf("status %d: %s", r.status, r.body)
	}
	return c.checkAnswer(r.body)
}

// retryable holds the codes after which a caller sends the same call again.
var retryable = map[refusal.Code]bool{
	refusal.InProgress:       true,
	refusal.ClaimUnavailable: true,
	refusal.Overloaded:       true,
	refusal.NoUpstream:       true,
	refusal.Stopping:         true,
	refusal.NotReady:         true,
	refusal.Incomplete:       true,
	refusal.BudgetExhausted:  true,
}

// classifyRefusal returns the same as classify for a refusal.
func (c *caller) classifyRefusal(r *refusal.BodyError) (End, string) {
	detail := fmt.Sprintf("%s: %s", r.Code, r.Message)
	repeatable := c.kind.Interface != Confirmation
	switch {
	case retryable[r.Code], repeatable && r.Code == refusal.OutcomeUnknown:
		return "", detail
	}
	return c.endWithoutAnswer(r), detail
}

// checkAnswer returns Answered if the body of a successful reply is the expected one, and
// otherwise the same as classify.
func (c *caller) checkAnswer(body []byte) (End, string) {
	switch c.kind.Interface {
	case Completion, Chat:
		return c.checkText(body)
	}
	var got standin.CallResult
	if err := json.Unmarshal(body, &got); err != nil || got.Service == "" {
		return Lost, fmt.Sprintf("unexpected answer %q", body)
	}
	return Answered, ""
}

// checkText compares the text of a completion or chat answer with the stand-in
// engine's answer to the same prompt.
func (c *caller) checkText(body []byte) (End, string) {
	text, err := "", error(nil)
	if c.kind.Stream {
		var r *refusal.BodyError
		if text, r, err = streamedText(body); r != nil {
			return c.classifyRefusal(r)
		}
	} else {
		text, err = unstreamedText(body)
	}
	if err != nil {
		return "", err.Error()
	}
	want := standin.Answer(c.profile.Model, c.prompt(), c.profile.MaxOutputTokens)
	if text != want {
		return Lost, fmt.Sprintf("answer is %q, want %q", text, want)
	}
	return Answered, ""
}

// retryDelay returns the delay before the next attempt after a refusal, which may be nil.
func retryDelay(r *refusal.BodyError) time.Duration {
	if r == nil || r.RetryAfterMS == 0 {
		return resendDelay
	}
	return min(time.Duration(r.RetryAfterMS)*time.Millisecond, maxRetryAfter)
}

// content returns the text that the caller sends, padded to the kind's length.
func (c *caller) content() string {
	const bytesPerToken = 4
	question := fmt.Sprintf("%s Call %d. tokens=%d ", c.kind.Prompt, c.serial, c.kind.OutputTokens)
	missing := c.kind.PromptTokens*bytesPerToken - len(question)
	if missing <= 0 {
		return question
	}
	const history = "dung 40 kg, crop waste 12 kg; "
	return strings.Repeat(history, missing/len(history)+1)[:missing] + question
}

// prompt returns the prompt that the engine receives.
func (c *caller) prompt() string {
	if c.kind.Interface == Chat {
		return "user: " + c.content() + "\n"
	}
	return c.content()
}

// completionBody is the body of a completion or chat request.
type completionBody struct {
	Model    string        `json:"model"`
	Prompt   string        `json:"prompt,omitempty"`
	Messages []chatMessage `json:"messages,omitempty"`
	Stream   bool          `json:"stream"`
}

// buildRequest returns the next attempt at a call without an idempotency key.
func (c *caller) buildRequest() request {
	r := request{method: http.MethodPost, header: c.header()}
	body := completionBody{Model: c.kind.Profile, Stream: c.kind.Stream}
	switch c.kind.Interface {
	case Completion:
		r.url = c.nextURL() + "/v1/completions"
		body.Prompt = c.content()
	case Chat:
		r.url = c.nextURL() + "/v1/chat/completions"
		body.Messages = []chatMessage{{Role: "user", Content: c.content()}}
	default:
		r.method = http.MethodGet
		r.url = c.nextURL() + c.kind.Path + "?call=" + url.QueryEscape(c.id)
		return r
	}
	// The encoding of a struct of strings and booleans cannot fail.
	r.body, _ = json.Marshal(body)
	return r
}

func (c *caller) header() http.Header {
	h := http.Header{}
	h.Set("Content-Type", "application/json")
	h.Set(refusal.HeaderRequestID, fmt.Sprintf("%s-%d", c.id, c.attempts))
	if n := len(c.kind.Organisations); n > 0 {
		h.Set(headerOrganisation, c.kind.Organisations[c.serial%n])
	}
	return h
}
