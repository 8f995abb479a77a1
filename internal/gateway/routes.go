package gateway

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"

	"bergamotsill.example/bergamotsill/internal/credentials"
	"bergamotsill.example/bergamotsill/internal/port"
)

// routeTable is one version of the configuration, indexed for lookups. It is immutable.
type routeTable struct {
	config *port.RouteConfig
	// hosts holds the routes of each host, longest prefix first.
	hosts map[string][]*port.ForwardRoute
	// organisations is nil if requests need no key; findings is what is wrong with them.
	organisations *credentials.Directory
	findings      []string
}

func newRouteTable(c *port.RouteConfig) *routeTable {
	t := &routeTable{config: c, hosts: map[string][]*port.ForwardRoute{}}
	if c.Organisations != nil {
		t.organisations, t.findings = credentials.NewDirectory(c.Organisations)
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *port.ForwardRoute) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return t
}

// find returns the route with the longest matching path prefix, or nil.
func (t *routeTable) find(host, target string) *port.ForwardRoute {
	path, _, _ := strings.Cut(target, "?")
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// destination picks the service of a request at random by the weights of the route's
// destinations, or the first destination if no weight is positive.
func destination(r *port.ForwardRoute) string {
	total := 0
	for _, d := range r.Destinations {
		total += max(0, d.Weight)
	}
	if total == 0 {
		return r.Destinations[0].Service
	}
	n := rand.IntN(total)
	for _, d := range r.Destinations {
		if n -= max(0, d.Weight); n < 0 {
			return d.Service
		}
	}
	return r.Destinations[len(r.Destinations)-1].Service
}
