// Package platform implements the HTTP clients of the platform's services: the log
// service, the VM list and the weight store.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"bergamotsill.example/bergamotsill/internal/adapter/exchange"
	"bergamotsill.example/bergamotsill/internal/adapter/network"
)

const (
	// requestTimeout bounds one request, in addition to the time for which a log read
	// may block.
	requestTimeout = 5 * time.Second
	// maxResponseBytes bounds the body of one response.
	maxResponseBytes = 64 << 20
)

// client sends JSON requests to one base URL.
type client struct {
	base       string
	httpClient *http.Client
}

func newClient(base string, nw network.Network) client {
	transport := &http.Transport{MaxResponseHeaderBytes: network.MaxHeadBytes}
	network.ConfigureTransport(transport, nw)
	return client{
		base:       strings.TrimSuffix(base, "/"),
		httpClient: &http.Client{Transport: transport},
	}
}

// do sends one request and decodes the JSON response into out when the status is 2xx or
// 410; other statuses are errors. It returns the status, or 0 when no complete response
// was received.
func (c client) do(ctx context.Context, method, path string, in, out any) (int, error) {
	status, _, err := c.doTagged(ctx, method, path, "", in, out)
	return status, err
}

// doTagged does the same as do and sends tag, unless it is empty, as the entity tag of a
// cached response. With status 304 the parameter out is not modified. It also returns the
// entity tag of the response.
func (c client) doTagged(ctx context.Context, method, path, tag string, in, out any) (int, string, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return 0, "", trace.Wrap(err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return 0, "", trace.Wrap(err)
	}
	// Long polls are a large part of the control traffic of a daemon, so headers that the
	// platform does not need are omitted.
	req.Header.Set("User-Agent", "")
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return 0, "", trace.Wrap(err)
	}
	defer resp.Body.Close()
	if err := exchange.CheckHead(resp); err != nil {
		return 0, "", trace.Wrap(err)
	}
	if resp.StatusCode == http.StatusNotModified {
		return resp.StatusCode, tag, nil
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return 0, "", trace.Wrap(err)
	}
	if resp.StatusCode >= 300 && resp.StatusCode != http.StatusGone {
		return resp.StatusCode, "", fmt.Errorf("%s %s: %s: %s", method, path, resp.Status, bytes.TrimSpace(data))
	}
	if err := json.Unmarshal(data, out); err != nil {
		return resp.StatusCode, "", trace.Wrap(err, "%s %s", method, path)
	}
	return resp.StatusCode, resp.Header.Get("ETag"), nil
}
