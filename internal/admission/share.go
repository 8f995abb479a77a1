package admission

// minDaemonShare is the fraction of an even split that a daemon keeps while it has no
// demand, so that its first requests start before its peers have received its new
// demand.
const minDaemonShare = 0.1

// Share returns the share, 0 to 1, of the data centre's capacity that this daemon may
// use. localDemand is its demand in tokens per second, peerDemands holds the demands that
// other daemons of the data centre reported, and daemons is the number of daemons there,
// including this one. Daemons without a report count as average ones; without any report
// the split is even.
func Share(localDemand float64, peerDemands []float64, daemons int) float64 {
	daemons = max(daemons, len(peerDemands)+1)
	even := 1 / float64(daemons)
	if len(peerDemands) == 0 {
		return even
	}
	total := localDemand
	for _, demand := range peerDemands {
		total += demand
	}
	if total <= 0 {
		return even
	}
	reportedShare := float64(len(peerDemands)+1) * even
	floor := minDaemonShare * even
	return floor + (1-minDaemonShare)*reportedShare*localDemand/total
}
