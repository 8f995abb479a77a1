package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"bergamotsill.example/bergamotsill/internal/refusal"
)

const (
	// attemptTimeout bounds one attempt at a call.
	attemptTimeout = 10 * time.Second
	// maxReplyBytes bounds the body of a reply.
	maxReplyBytes = 4 << 20
)

// Headers of the caller interface.
const (
	headerOrganisation = "Bergamot-Organisation"
	headerKey          = "Idempotency-Key"
)

// reply is the result of one attempt.
type reply struct {
	// err is set if the attempt failed before the reply was complete.
	err     error
	refusal *refusal.BodyError
	status  int
	// body is the body of a reply without a refusal.
	body []byte
}

// request is one attempt at a call.
type request struct {
	method string
	url    string
	header http.Header
	body   []byte
}

// send makes one attempt.
func send(ctx context.Context, client *http.Client, r request) reply {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, r.url, bytes.NewReader(r.body))
	if err != nil {
		return reply{err: err}
	}
	req.Header = r.header
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return reply{err: err}
	}
	return reply{status: resp.StatusCode, body: data, refusal: parseRefusal(data)}
}

// parseRefusal returns the refusal in a body, or nil.
func parseRefusal(data []byte) *refusal.BodyError {
	var b refusal.Body
	if json.Unmarshal(data, &b) != nil || b.Error.Code == "" {
		return nil
	}
	return &b.Error
}

// completion is the part of a response, or of one event of a stream, that callers use.
type completion struct {
	Choices []completionChoice `json:"choices"`
}

type completionChoice struct {
	Text         string      `json:"text"`
	Message      chatMessage `json:"message"`
	Delta        chatMessage `json:"delta"`
	FinishReason *string     `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

func (c completionChoice) text() string { return c.Text + c.Message.Content + c.Delta.Content }

// errIncomplete reports a response without an explicit end.
var errIncomplete = errors.New("response has no explicit end")

// unstreamedText returns the text of a response that is one JSON object.
func unstreamedText(body []byte) (string, error) {
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		return "", err
	}
	if len(c.Choices) != 1 || c.Choices[0].FinishReason == nil {
		return "", errIncomplete
	}
	return c.Choices[0].text(), nil
}

// streamedText returns the text of a response sent as server-sent events, or the refusal
// that ended it.
func streamedText(body []byte) (string, *refusal.BodyError, error) {
	var text strings.Builder
	finished := false
	scanner := bufio.NewScanner(bytes.NewReader(body))
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if bytes.Equal(data, []byte("[DONE]")) {
			return endOfStream(text.String(), finished)
		}
		if r := parseRefusal(data); r != nil {
			return "", r, nil
		}
		var event completion
		if err := json.Unmarshal(data, &event); err != nil {
			return "", nil, err
		}
		for _, c := range event.Choices {
			text.WriteString(c.text())
			finished = finished || c.FinishReason != nil
		}
	}
	return "", nil, errIncomplete
}

// endOfStream returns the result of streamedText at the event [DONE].
func endOfStream(text string, finished bool) (string, *refusal.BodyError, error) {
	if !finished {
		return "", nil, errIncomplete
	}
	return text, nil, nil
}
