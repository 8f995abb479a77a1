package continuity

import (
	"fmt"
	"slices"
)

// Answer is what one daemon knows about a stream that a client takes up.
type Answer struct {
	// Known is set if the daemon knows where the stream began, at Origin.
	Known  bool   `json:"known,omitempty"`
	Origin Origin `json:"origin"`
	// Versions are the versions that the service of the request has or has had within the lifetime of
	// streams. Complete is set if these are certainly all.
	Versions []string `json:"versions,omitempty"`
	Complete bool     `json:"complete,omitempty"`
	// Current is set if the daemon's list of runners was equal to the registry a moment ago.
	Current bool `json:"current,omitempty"`
}

// Basis says how the origin of a stream was found.
type Basis string

// Ways in which the origin of a stream is found.
const (
	// Recorded origins were recorded by the daemon that sent the first event.
	Recorded Basis = "recorded"
	// OnlyVersion means that the service has had no other version within the lifetime of streams.
	OnlyVersion Basis = "only-version"
	// Unknown origins are not to be guessed.
	Unknown Basis = "unknown"
)

// Decide returns where a stream of a service began, by what several daemons know about it. Without a
// record the answers must show that the service had one version only; an answer that names another
// version counts also if it is not complete.
func Decide(service string, answers []Answer) (Origin, Basis) {
	var found *Origin
	var versions []string
	complete := false
	for _, a := range answers {
		if a.Known {
			if found != nil && *found != a.Origin {
				return Origin{}, Unknown
			}
			found = &a.Origin
		}
		complete = complete || a.Complete
		versions = append(versions, a.Versions...)
	}
	if found != nil {
		return *found, Recorded
	}
	slices.Sort(versions)
	if versions = slices.Compact(versions); complete && len(versions) == 1 {
		return Origin{Service: service, Version: versions[0]}, OnlyVersion
	}
	return Origin{}, Unknown
}

// String implements fmt.Stringer.
func (o Origin) String() string { return fmt.Sprintf("%s version %s", o.Service, o.Version) }
