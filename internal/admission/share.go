package admission

// minDaemonShare is the part of an even split that a daemon keeps without any
// demand of its own, so that its first requests start before its peers have
// heard of them.
const minDaemonShare = 0.1

// Share returns the part, 0 to 1, of the data centre's capacity that a daemon
// works from. Demand is in tokens per second; peers holds the demand that the
// other daemons of the data centre reported, and daemons is the number of
// daemons there, this one included. Daemons without a report count as an
// average one; without any report the split is even.
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
