package admission

const (
	// underservedPrefillFactor is the multiple of the prefill rate that is assumed for a
	// rank that has received less than its minimum share. Its prompts may then wait 0.45
	// of their first-token target inside an engine. In an urgent flood of the benchmark
	// scenario feed-board, standard requests receive 0.88 to 0.92 of their guarantee with a
	// factor of 1 and 0.89 to 0.94 with a factor of 2 (6 seeds).
	underservedPrefillFactor = 1.5
	// sparseMaxWaiting is the largest number of waiting requests at which an underserved
	// rank counts as sparse.
	sparseMaxWaiting = 2
)

// underserved reports whether a rank has received less service than its minimum share.
func (q *Queue) underserved(rank int) bool {
	return q.ranks[rank].rate < q.opts.MinShares[rank]*q.throughput
}

// sparse reports whether a rank is underserved although few of its requests wait.
// The load of such a rank is below its share, so that serving it at once takes nothing
// from the other ranks in the long run. A rank with a backlog is limited by its credit
// instead: without this condition, background floods received 0.25 of the service at a
// share of 0.2.
func (q *Queue) sparse(rank int) bool {
	return q.ranks[rank].waitingCount <= sparseMaxWaiting && q.underserved(rank)
}

// guaranteedTokens returns the cost, in tokens, that a rank may have in flight regardless
// of the other ranks: its share of the limit, or the whole limit while the rank is
// sparse. Long responses hold their tokens for a long time, so that a share of the
// tokens held is a smaller share of the service.
func (q *Queue) guaranteedTokens(rank int) float64 {
	if q.sparse(rank) {
		return q.limit()
	}
	return q.opts.MinShares[rank] * q.limit()
}

// guaranteedPrefillShare returns the share of the prefill rate at which a rank's prompts
// inside the engines must be prefilled in time, regardless of the other ranks. For a
// daemon of a small data centre, the minimum share of the rate does not suffice for one
// long prompt at a time, so a sparse rank gets underservedPrefillFactor instead.
func (q *Queue) guaranteedPrefillShare(rank int) float64 {
	if q.sparse(rank) {
		return underservedPrefillFactor
	}
	return q.opts.MinShares[rank]
}
