package gateway

import "bergamotsill.example/bergamotsill/internal/port"

// identify names the organisation of a request by its key, or by what the daemon verified that handed the request
// over. It returns the route as it applies to the organisation, and false if the route needs a key and no organisation
// of this configuration holds the request's one.
func (t *routeTable) identify(r *port.ForwardRequest, route *port.ForwardRoute, note *port.Handover) (*port.ForwardRoute, bool) {
	if t.organisations == nil || route.Public {
		return route, true
	}
	if note != nil && note.Organisation != "" {
		r.Organisation = note.Organisation
		rank, _ := t.organisations.Rank(note.Organisation)
		return withRank(route, rank), true
	}
	o, ok := t.organisations.Lookup(r.Key)
	if !ok {
		return nil, false
	}
	r.Organisation = o.Name
	return withRank(route, o.Rank), true
}

// withRank returns a route whose rank is replaced, unless rank is nil.
func withRank(route *port.ForwardRoute, rank *int) *port.ForwardRoute {
	if rank == nil || *rank == route.Priority {
		return route
	}
	ranked := *route
	ranked.Priority = *rank
	return &ranked
}
