package burn

import (
	"sort"
	"time"

	"bergamotsill.example/bergamotsill/internal/profile"
)

// Row is the account of one profile since the daemon started.
type Row struct {
	Rank    profile.Rank `json:"rank"`
	Profile string       `json:"profile"`
	// Answered counts whole answers, Within those within their targets.
	Answered int64 `json:"answered"`
	OnTime   int64 `json:"within"`
	// Refused counts refusals that did not run, Unknown those that may have run.
	Refused int64 `json:"refused"`
	Unknown int64 `json:"unknown"`
	// Worth is the sum of the worth of answers within their targets.
	Worth   float64 `json:"worth"`
	Targets Targets `json:"targets"`
	// Windows holds the newest requests, one entry per window of Windows.
	Windows []Window `json:"windows,omitempty"`
}

// Targets are the targets of a profile, in milliseconds.
type Targets struct {
	FirstTokenMS int64 `json:"first_token_ms"`
	TokenMS      int64 `json:"token_ms"`
	TotalMS      int64 `json:"total_ms"`
}

// Window counts the requests that ended during the last Seconds seconds.
type Window struct {
	Seconds int64 `json:"seconds"`
	Total   int64 `json:"total"`
	// Missed counts requests that were not answered within their targets.
	Missed int64 `json:"missed"`
}

// Total returns the number of requests.
func (r Row) Total() int64 { return r.Answered + r.Refused + r.Unknown }

// MissedShare returns the share of requests that were not answered within their
// targets, 0 to 1.
func (r Row) MissedShare() float64 { return ratio(r.Total()-r.OnTime, r.Total()) }

// Objective returns the share of requests, 0 to 1, of a rank that should be
// answered within their targets.
func Objective(rank profile.Rank) float64 {
	switch rank {
	case profile.Urgent:
		return 0.99
	case profile.Standard:
		return 0.95
	}
	return 0.90
}

// BurnRate returns how fast the allowance of a rank is used up: 1 means that exactly
// the allowed share of requests misses its target.
func (w Window) BurnRate(rank profile.Rank) float64 {
	return ratio(w.Missed, w.Total) / (1 - Objective(rank))
}

func ratio(part, total int64) float64 {
	if total == 0 {
		return 0
	}
	return float64(part) / float64(total)
}

// Merge adds up the rows of several daemons by rank and profile. Targets are
// taken from the last list that has them.
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

// Windows are the periods for which burn rates are reported. The short one shows
// an incident that has just begun, the long one how much it has cost.
var Windows = []time.Duration{5 * time.Minute, time.Hour}
