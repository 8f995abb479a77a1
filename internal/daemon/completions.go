package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bergamotsill.example/bergamotsill/internal/findings"
	"bergamotsill.example/bergamotsill/internal/port"
	"bergamotsill.example/bergamotsill/internal/refusal"
)

// completionRequest is the body of a text generation request. Unknown fields are ignored,
// because existing clients send fields that have no effect here.
type completionRequest struct {
	// Model names a profile.
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// message is one message of a chat, or a part of one in a stream.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completionResponse is a complete response or one event of a stream.
type completionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// choice is the generated text of a response. Text is set in text completions, Message in
// complete chat responses and Delta in events of a chat stream.
type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// usage holds the token counts of a response.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// serveCompletion handles a text completion request.
func (d *Daemon) serveCompletion(ctx context.Context, w http.ResponseWriter, c *call) error {
	return d.handleCompletion(ctx, w, c, false)
}

// serveChat handles a chat completion request.
func (d *Daemon) serveChat(ctx context.Context, w http.ResponseWriter, c *call) error {
	return d.handleCompletion(ctx, w, c, true)
}

// handleCompletion validates a text or chat completion request and generates the response.
func (d *Daemon) handleCompletion(ctx context.Context, w http.ResponseWriter, c *call, chat bool) error {
	if c.request.Method != http.MethodPost {
		return refusal.New(refusal.MethodNotAllowed, "use POST, not %s", c.request.Method)
	}
	req, err := parseCompletion(c, chat)
	if err != nil {
		return err
	}
	snapshot := d.config.Snapshot()
	p := snapshot.Profile(req.Model)
	if p == nil {
		return refusal.New(refusal.UnknownProfile, "profile %q does not exist", req.Model)
	}
	if err := d.need(c, p.Pool, time.Duration(p.TotalMS)*time.Millisecond); err != nil {
		return err
	}
	out := &responder{w: w, id: c.id, model: req.Model, created: c.started.Unix(), chat: chat, stream: req.Stream}
	maxTokens := p.MaxOutputTokens
	if req.MaxTokens > 0 {
		maxTokens = min(req.MaxTokens, maxTokens)
	}
	err = d.generate(ctx, &generation{
		call:      c,
		snapshot:  snapshot,
		profile:   p,
		prompt:    req.Prompt,
		maxTokens: maxTokens,
		response:  out,
	})
	return limitToAttempt(err)
}

// limitToAttempt limits a refusal with the outcome NotRun to this attempt. Daemons keep no
// record of completions, so a resent request cannot be recognised as such and an earlier
// attempt may have run.
func limitToAttempt(err error) error {
	var r *refusal.Error
	if errors.As(err, &r) && r.Outcome == refusal.NotRun {
		r.ForAttempt()
	}
	return err
}

// parseCompletion decodes and validates the body. The refusal lists every invalid field.
func parseCompletion(c *call, chat bool) (*completionRequest, error) {
	req := &completionRequest{}
	if err := json.Unmarshal(c.body, req); err != nil {
		return nil, refusal.New(refusal.BadRequest, "the body is not valid: %s", findings.SyntaxError(c.body, err))
	}
	if name := c.request.Header.Get(headerProfile); name != "" {
		req.Model = name
	}
	if chat {
		req.Prompt = joinMessages(req.Messages)
	}
	var problems []refusal.Finding
	if req.Model == "" {
		problems = append(problems, refusal.Finding{Place: "model", Message: "is required and names a profile"})
	}
	if chat && len(req.Messages) == 0 {
		problems = append(problems, refusal.Finding{Place: "messages", Message: "at least one message is required"})
	}
	if !chat && req.Prompt == "" {
		problems = append(problems, refusal.Finding{Place: "prompt", Message: "is required"})
	}
	if req.MaxTokens < 0 {
		problems = append(problems, refusal.Finding{Place: "max_tokens", Message: "must not be negative"})
	}
	if len(problems) > 0 {
		r := refusal.New(refusal.BadRequest, "the body has %d errors", len(problems))
		r.Findings = problems
		return nil, r
	}
	return req, nil
}

// joinMessages returns the prompt for a chat: one line "role: content" for each message.
func joinMessages(messages []message) string {
	var b strings.Builder
	for _, m := range messages {
		fmt.Fprintf(&b, "%s: %s\n", m.Role, m.Content)
	}
	return b.String()
}

// callerWriteTimeout bounds each write to a caller. A caller that accepts no bytes for
// that long is disconnected, so that it does not keep an engine occupied.
const callerWriteTimeout = 10 * time.Second

// clearWriteDeadline removes the write deadline that an earlier request has set on a
// connection.
func clearWriteDeadline(conn net.Conn, state http.ConnState) {
	if state == http.StateActive {
		// Setting a deadline fails only on a broken connection. The next write returns
		// the error.
		_ = conn.SetWriteDeadline(time.Time{})
	}
}

// eventStreamType is the content type of streamed responses.
const eventStreamType = "text/event-stream"

// responder writes one response in the format that the caller requested.
type responder struct {
	w       http.ResponseWriter
	id      string
	model   string
	created int64
	chat    bool
	stream  bool

	// started is set before the first byte is sent.
	started bool
	// text collects the response if it is not streamed.
	text bytes.Buffer
}

// Started reports whether sending the response has begun.
func (r *responder) Started() bool { return r.started }

// discard removes the text of a response that has not started.
func (r *responder) discard() { r.text.Reset() }

// Write sends the next piece of text if the response is streamed, or else buffers it.
func (r *responder) Write(text string) error {
	if !r.stream {
		r.text.WriteString(text)
		return nil
	}
	return r.sendEvent(r.event(text, nil, nil))
}

// Finish completes the response with the finish reason and token counts of the last chunk.
func (r *responder) Finish(last port.Chunk) error {
	u := &usage{
		PromptTokens:     last.PromptTokens,
		CompletionTokens: last.OutputTokens,
		TotalTokens:      last.PromptTokens + last.OutputTokens,
	}
	if !r.stream {
		return r.sendBody(last.FinishReason, u)
	}
	if err := r.sendEvent(r.event("", &last.FinishReason, u)); err != nil {
		return err
	}
	return r.sendData([]byte("[DONE]"))
}

// Fail sends an error event in a started stream. It sends nothing for a response that is
// not streamed: that is sent with its length, so the caller detects that bytes are missing.
func (r *responder) Fail(e *refusal.Error) error {
	if !r.stream {
		return nil
	}
	data, err := json.Marshal(e.ToBody(r.id))
	if err != nil {
		return err
	}
	return r.sendData(data)
}

// event returns one event of a stream. Reason and usage are nil except in the last event.
func (r *responder) event(text string, reason *string, u *usage) completionResponse {
	c := choice{FinishReason: reason}
	object := "text_completion"
	if r.chat {
		object = "chat.completion.chunk"
		c.Delta = &message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	return r.response(object, c, u)
}

func (r *responder) response(object string, c choice, u *usage) completionResponse {
	return completionResponse{
		ID:      r.id,
		Object:  object,
		Created: r.created,
		Model:   r.model,
		Choices: []choice{c},
		Usage:   u,
	}
}

// sendBody sends the buffered text as a complete response.
func (r *responder) sendBody(reason string, u *usage) error {
	text := r.text.String()
	c := choice{FinishReason: &reason}
	object := "text_completion"
	if r.chat {
		object = "chat.completion"
		c.Message = &message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	data, err := json.Marshal(r.response(object, c, u))
	if err != nil {
		return err
	}
	r.started = true
	r.w.Header().Set("Content-Type", "application/json")
	r.w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	return r.send(data)
}

func (r *responder) sendEvent(response completionResponse) error {
	data, err := json.Marshal(response)
	if err != nil {
		return err
	}
	return r.sendData(data)
}

// sendData sends one server-sent event. The first event also sends the headers.
func (r *responder) sendData(data []byte) error {
	if !r.started {
		r.started = true
		r.w.Header().Set("Content-Type", eventStreamType)
		r.w.Header().Set("Cache-Control", "no-cache")
	}
	return r.send(fmt.Appendf(nil, "data: %s\n\n", data))
}

func (r *responder) send(data []byte) error { return sendFlushed(r.w, data) }

// sendFlushed writes and flushes bytes within callerWriteTimeout.
func sendFlushed(w http.ResponseWriter, data []byte) error {
	controller := http.NewResponseController(w)
	if err := controller.SetWriteDeadline(time.Now().Add(callerWriteTimeout)); err != nil {
		return err
	}
	if _, err := w.Write(data); err != nil {
		return err
	}
	return controller.Flush()
}
