package gateway

import (
	"testing"

	"bergamotsill.example/bergamotsill/internal/port"
)

// Guards against retries beyond the shared limit, because a receiver takes a request that runners have
// refused or may have executed for a new one.
func TestReceiverContinuesTheCountsOfTheSender(t *testing.T) {
	for _, sender := range []*call{{sends: 1, arrived: true}, {sends: 1, executions: 1, arrived: true}} {
		g := newTestGateway(RetryLimits{})
		sender.gateway, sender.request = g, &port.ForwardRequest{}
		note := sender.note()
		receiver := &call{gateway: g, request: &port.ForwardRequest{}, service: "s"}
		receiver.applyHandover(&note)
		if receiver.beginSend() {
			t.Errorf("after %d sends and %d executions the receiver's send is no retry", sender.sends, sender.executions)
		}
	}
}
