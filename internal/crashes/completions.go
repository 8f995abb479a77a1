package crashes

import "time"

const (
	// completionMemory is how long completions are remembered at least. It is longer than the time
	// within which the loss of a connection is confirmed as a crash.
	completionMemory = 12 * time.Second
	// maxCompletions bounds the traits that are remembered for each completionMemory.
	maxCompletions = 8192
)

// completion is what is remembered of the requests with a trait that runners completed.
type completion struct {
	last  time.Time
	count int
}

// completions remembers with which traits requests have completed. Traits move to earlier after
// completionMemory, and are forgotten after twice that.
type completions struct {
	recent, earlier map[Trait]completion
	since           time.Time
}

func newCompletions() completions {
	return completions{recent: map[Trait]completion{}, earlier: map[Trait]completion{}}
}

// add remembers a completion at a time.
func (c *completions) add(t Trait, at, now time.Time) {
	if now.Sub(c.since) >= completionMemory || len(c.recent) >= maxCompletions {
		c.earlier, c.recent = c.recent, map[Trait]completion{}
		c.since = now
	}
	known := c.recent[t]
	if at.After(known.last) {
		known.last = at
	}
	known.count++
	c.recent[t] = known
}

// lastOf returns the time of the last remembered completion; the zero time if there is none.
func (c *completions) lastOf(t Trait) time.Time {
	if last := c.recent[t].last; !last.IsZero() {
		return last
	}
	return c.earlier[t].last
}

// count returns the number of remembered completions.
func (c *completions) count(t Trait) int { return c.recent[t].count + c.earlier[t].count }
