package port

import (
	"net/http"
	"strings"
)

// hopHeaders are the hop-by-hop headers (RFC 9110, section 7.6.1). Content-Length and
// Expect are included because each connection determines the length of the body and
// whether to send it.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// EndToEnd returns a copy of h without the hop-by-hop headers, which include those
// that its Connection header lists.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, field := range h.Values("Connection") {
		for name := range strings.SplitSeq(field, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}
