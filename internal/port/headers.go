package port

import (
	"net/http"
	"strings"
)

// hopHeaders concern one connection only (RFC 9110, section 7.6.1). The lengths of
// bodies and the agreement to a body are settled anew on each connection.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// EndToEnd returns a copy of the headers without those that concern one connection.
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
