package burn

import (
	"sort"
	"time"

	"bergamotsill.example/bergamotsill/internal/profile"
)

// Row holds the request counts of one profile since the daemon started.
type Row struct {
	Rank    profile.Rank `json:"rank"`
	Profile string       `json:"profile"`
	// Answered counts complete responses, OnTime those of them that met their targets.
	Answered int64 `json:"answered"`
	OnTime   int64 `json:"within"`
	// Refused counts requests that were refused and did not run, Unknown those that were
	// not answered but may have run.
	Refused int64 `json:"refused"`
	Unknown int64 `json:"unknown"`
	// Worth is the total worth of the responses that met their targets.
	Worth   float64 `json:"worth"`
	Targets Targets `json:"targets"`
	// Windows holds the counts of recent requests, one entry for each length in the package
	// variable Windows.
	Windows []Window `json:"windows,omitempty"`
}

// Targets holds the latency targets of a profile, in milliseconds.
type Targets struct {
	FirstTokenMS int64 `json:"first_token_ms"`
	TokenMS      int64 `json:"token_ms"`
	TotalMS      int64 `json:"total_ms"`
}

// Window counts the requests that ended during the last Seconds seconds.
type Window struct {
	Seconds int64 `json:"seconds"`
	Total   int64 `json:"total"`
	// Missed counts requests that did not meet their targets: answered late, refused, or
	// with an unknown outcome.
	Missed int64 `json:"missed"`
}

// Total returns the number of requests with any result.
func (r Row) Total() int64 { return r.Answered + r.Refused + r.Unknown }

// MissedShare returns the share of requests, 0 to 1, that did not meet their targets.
func (r Row) MissedShare() float64 { return ratio(r.Total()-r.OnTime, r.Total()) }

// Objective returns the service-level objective of a rank: the share of requests, 0 to 1,
// that should meet their targets.
func Objective(rank profile.Rank) float64 {
	switch rank {
	case profile.Urgent:
		return 0.99
	case profile.Standard:
		return 0.95
	}
	return 0.90
}

// BurnRate returns how fast the error budget of a rank is used up: at 1
// exactly the allowed share of requests misses its targets, above 1 the objective is missed.
func (w Window) BurnRate(rank profile.Rank) float64 {
	return ratio(w.Missed, w.Total) / (1 - Objective(rank))
}

// ratio returns part/total, or 0 when total is 0.
func ratio(part, total int64) float64 {
	if total == 0 {
		return 0
	}
	return float64(part) / float64(total)
}

// Merge sums the rows of several daemons by profile and sorts the result by rank and
// profile. Rank and targets are taken from the last list that has the profile.
func Merge(lists ...[]Row) []Row {
	merged := map[string]*Row{}
	for _, list := range lists {
		for _, r := range list {
			sum, ok := merged[r.Profile]
			if !ok {
				sum = &Row{Profile: r.Profile}
				merged[r.Profile] = sum
			}
			sum.add(r)
		}
	}
	rows := make([]Row, 0, len(merged))
	for _, r := range merged {
		rows = append(rows, *r)
	}
	sortRows(rows)
	return rows
}

func (r *Row) add(other Row) {
	r.Rank = other.Rank
	r.Targets = other.Targets
	r.Answered += other.Answered
	r.OnTime += other.OnTime
	r.Refused += other.Refused
	r.Unknown += other.Unknown
	r.Worth += other.Worth
	for _, w := range other.Windows {
		r.addWindow(w)
	}
}

func (r *Row) addWindow(w Window) {
	for i := range r.Windows {
		if r.Windows[i].Seconds == w.Seconds {
			r.Windows[i].Total += w.Total
			r.Windows[i].Missed += w.Missed
			return
		}
	}
	r.Windows = append(r.Windows, w)
}

func sortRows(rows []Row) {
	sort.Slice(rows, func(i, j int) bool {
		if rows[i].Rank != rows[j].Rank {
			return rows[i].Rank.Priority() < rows[j].Rank.Priority()
		}
		return rows[i].Profile < rows[j].Profile
	})
}

// Windows are the window lengths for which burn rates are reported, in ascending order.
// The short one shows an incident that has just started, the long one its total cost.
var Windows = []time.Duration{5 * time.Minute, time.Hour}
