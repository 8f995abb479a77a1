package usage

import "maps"

// Told holds the counts of this process that another one was told, by window. It is not safe for concurrent
// use.
type Told map[int64]Counts

// News returns the counts that differ from those that were told, and forgets the windows that are not among
// the reports.
func (t Told) News(reports []Report) []Report {
	current := map[int64]bool{}
	var out []Report
	for _, r := range reports {
		current[r.Window] = true
		news := Counts{}
		for organisation, n := range r.Counts {
			if n != t[r.Window][organisation] {
				news[organisation] = n
			}
		}
		if len(news) > 0 {
			out = append(out, Report{Source: r.Source, Window: r.Window, Counts: news})
		}
	}
	maps.DeleteFunc(t, func(window int64, _ Counts) bool { return !current[window] })
	return out
}

// Add records that counts were told.
func (t Told) Add(reports []Report) {
	for _, r := range reports {
		if t[r.Window] == nil {
			t[r.Window] = Counts{}
		}
		maps.Copy(t[r.Window], r.Counts)
	}
}
