package gateway

import (
	"net/http"

	"go.uber.org/zap"

	"bergamotsill.example/bergamotsill/internal/adapter/forwarding"
	"bergamotsill.example/bergamotsill/internal/port"
)

const (
	// handoverHeadFactor is how many times as large as that of a client the head of a request may be that another daemon
	// hands over: names and values are sent again with the white space and the line ends that a client may leave out.
	handoverHeadFactor = 2
	// handoverHeadBytes is the room for the header lines that the sender adds.
	handoverHeadBytes = 4 << 10
)

// limitHeads applies the operators' limit of request heads.
func (g *Gateway) limitHeads(l port.ClientLimits) {
	limit := int64(l.MaxHeaderBytes)
	g.clientConns.SetMaxHeadBytes(limit)
	if limit > 0 {
		g.handoverConns.SetMaxHeadBytes(handoverHeadFactor*limit + handoverHeadBytes)
	}
}

// refuseHead responds to a request whose head is larger than its limit, or does not fit into the memory for heads.
func (g *Gateway) refuseHead(w http.ResponseWriter, status int) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", formatRetryAfter(memoryFullRetryAfter))
	}
	g.log.Warn("request head refused", zap.Int("status", status))
	g.metrics.requests.Add("rejected", 1)
	w.WriteHeader(status)
}

// refuseHandoverHead is refuseHead for a request that another daemon hands over. The sender accepted the request, so that a
// refusal here is no answer to the client.
func (g *Gateway) refuseHandoverHead(w http.ResponseWriter, status int) {
	forwarding.Decline(w.Header(), "rejected")
	g.refuseHead(w, status)
}
