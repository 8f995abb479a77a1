package exchange_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/adapter/exchange"
	"bergamotsill.example/bergamotsill/internal/adapter/network"
)

// scriptedNetwork opens connections on which given bytes arrive, whatever is sent, until their end.
type scriptedNetwork struct {
	network.Network
	bytes []byte
}

// DialContext implements network.Network.
func (n scriptedNetwork) DialContext(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, server) }()
	go func() {
		_, _ = server.Write(n.bytes)
		_ = server.Close()
	}()
	return client, nil
}

// Guards against bytes of a server that end the process, hang a request, or pass for a final response without being one.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 000 \r\n\r\n", "HTTP/1.0 200 OK\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA: b\r\n\r\n", "HTTP/1.1 103 \r\n\r\nHTTP/1.1 204 \r\n\r\nx",
		"HTTP/1.1 101 \r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 999 \r\nContent-Length: -1\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		client := exchange.NewClient(scriptedNetwork{network.TCP{}, data}, time.Second)
		response, err := client.Do(ctx, "127.0.0.1:1", exchange.Request{Method: http.MethodGet, Host: "h", Target: "/", Header: http.Header{}})
		if err != nil {
			return
		}
		if response.Status < 200 || response.Status > 599 {
			t.Errorf("status %d passes for a final response", response.Status)
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 1<<20))
		_ = response.Body.Close()
		if ctx.Err() != nil {
			t.Error("the response did not end")
		}
	})
}
