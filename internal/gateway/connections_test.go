package gateway

import (
	"testing"

	"bergamotsill.example/bergamotsill/internal/port"
)

// Guards against connections to runners that are not limited, or limited as before, because the configuration arrived after the
// list of runners.
func TestConfigurationLimitsConnectionsToRunners(t *testing.T) {
	g := newTestGateway(RetryLimits{})
	const address = "10.0.0.1:80"
	last := 0
	for version, accepted := range []int{100, 40} {
		g.config.installIfNewer(nil, &port.RouteConfig{Version: int64(version + 1), Services: map[string]port.ForwardService{"s": {MaxConnections: accepted}}}, "test")
		limit := g.connectionLimit(address)
		if limit <= 0 || limit > accepted || limit == last {
			t.Errorf("%d connections may be open to a runner that accepts %d", limit, accepted)
		}
		last = limit
	}
}
