package clientconn

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bergamotsill.example/bergamotsill/internal/memory"
)

// Guards against bytes of a client, in heads, chunks and trailers, that end the process, leave memory reserved, or let a head
// be served that was not charged.
func FuzzRequest(f *testing.F) {
	for _, seed := range []string{
		wholeRequest, "\r\n\r\n" + wholeRequest, shortLines(2 << 10), shortLines(9 << 10), strings.Repeat("\n", 9<<10),
		testRequest.OddLines(7<<10, "Content-Length: 3\r\n") + "\r\nabc" + wholeRequest, wholeRequest + shortLines(3<<10),
		"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nA: b\r\n\r\n" + wholeRequest,
		"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n1;x\r\n", "GET /x HTTP/1.0\r\n a: b\r\n\r\n", "\x00",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		const processMemory = 8 << 20
		client, raw := net.Pipe()
		s := New(memory.NewBudget(processMemory), func(w http.ResponseWriter, status int) { w.WriteHeader(status) })
		s.SetMaxHeadBytes(8 << 10)
		server := &http.Server{ReadHeaderTimeout: connTestLimit, IdleTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if cost := costOf(r) - memory.FreeHeadBytes; s.memory.Used(memory.Heads) < cost {
				t.Errorf("a head that costs %d bytes is charged with %d", cost, s.memory.Used(memory.Heads))
			}
			_, _ = io.Copy(io.Discard, r.Body)
			w.WriteHeader(http.StatusNoContent)
		})}
		s.Attach(server)
		l := &oneConnListener{Listener: &closedListener{}, conn: s.add(raw)}
		go func() { _, _ = io.Copy(io.Discard, client) }()
		go func() {
			_, _ = client.Write(data)
			_ = client.Close()
		}()
		_ = server.Serve(l)
		for deadline := time.Now().Add(connTestLimit); ; time.Sleep(time.Millisecond) {
			held := s.memory.Status()
			if s.Count() == 0 && held.Heads == 0 && held.Connections == 0 && held.Unfinished == 0 {
				return
			}
			if time.Now().After(deadline) {
				t.Fatalf("%d connections are open, memory is held: %+v", s.Count(), held)
			}
		}
	})
}

// closedListener accepts nothing.
type closedListener struct{}

func (closedListener) Accept() (net.Conn, error) { return nil, net.ErrClosed }
func (closedListener) Close() error              { return nil }
func (closedListener) Addr() net.Addr            { return &net.TCPAddr{} }
