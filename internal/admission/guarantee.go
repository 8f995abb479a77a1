package admission

const (
	// underservedPrefillFactor is the part of the reading speed that counts for a rank which
	// has had less than its minimum share. Its prompts may then wait 0.45 of their
	// target inside an engine. Of its guarantee in an urgent flood, standard work of
	// feed-board keeps 0.88 to 0.92 with 1 and 0.89 to 0.94 with 2 (6 seeds).
	underservedPrefillFactor = 1.5
	// sparseMaxWaiting is the number of waiting requests up to which an underserved rank
	// counts as sparse.
	sparseMaxWaiting = 2
)

// underserved tells whether a rank has had less service than its minimum share.
func (q *Queue) underserved(rank int) bool {
	return q.ranks[rank].rate < q.opts.MinShares[rank]*q.throughput
}

// sparse tells whether a rank is underserved although it has few requests to start.
// Its load is below its share, so that what it gets now takes nothing from others in
// the long run. A rank with a backlog keeps to its credit instead: without this
// condition background floods got 0.25 of the service at a share of 0.2.
func (q *Queue) sparse(rank int) bool {
	return q.ranks[rank].waitingCount <= sparseMaxWaiting && q.underserved(rank)
}

// guaranteedTokens returns the work, in tokens, that a rank may have in flight regardless of the
// others: its share of the limit, and all of it while the rank is sparse. Long
// answers hold tokens for long, so that a share of the tokens held is a smaller share
// of the service.
func (q *Queue) guaranteedTokens(rank int) float64 {
	if q.sparse(rank) {
		return q.limit()
	}
	return q.opts.MinShares[rank] * q.limit()
}

// guaranteedPrefillShare returns the part of the reading speed at which a rank's prompts in the
// engines must be read in time, regardless of the other ranks. A share of the speed
// is less than one long prompt at a time for a daemon of a small data centre.
func (q *Queue) guaranteedPrefillShare(rank int) float64 {
	if q.sparse(rank) {
		return underservedPrefillFactor
	}
	return q.opts.MinShares[rank]
}
