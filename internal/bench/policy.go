package bench

// policy is one way to decide.
type policy struct {
	name string
	// newDecider returns the decider of one daemon.
	newDecider func(n *node) decider
	// fixedSplit starts the engines with fixed roles.
	fixedSplit bool
	// startRoleControl changes roles; nil keeps them.
	startRoleControl func(w *world)
}

// policies returns this system, the baselines, and this system with one mechanism
// switched off each.
func policies() []policy {
	return []policy{
		{name: "bergamotsill", newDecider: newBergamot(ablation{}), startRoleControl: planRoles},
		{name: "mixed least-conn", newDecider: newBaseline(true)},
		{name: "fixed split", newDecider: newBaseline(true), fixedSplit: true},
		{name: "threshold roles", newDecider: newBaseline(true), fixedSplit: true, startRoleControl: thresholdRoles},
		{name: "fcfs no ranks", newDecider: newBaseline(false)},
	}
}

// ablations returns this system with one mechanism switched off each.
func ablations() []policy {
	list := []struct {
		name     string
		disabled ablation
	}{
		{"- ranks", ablation{ranks: true}},
		{"- minimum shares", ablation{minShares: true}},
		{"- early refusal", ablation{earlyRefusal: true}},
		{"- engine limits", ablation{engineLimits: true}},
		{"- prefix affinity", ablation{prefixAffinity: true}},
		{"- sent since report", ablation{inFlight: true}},
		{"- other data centres", ablation{overflow: true}},
		{"- peer demand", ablation{peerDemand: true}},
	}
	var out []policy
	for _, l := range list {
		out = append(out, policy{name: l.name, newDecider: newBergamot(l.disabled), startRoleControl: planRoles})
	}
	return append(out, policy{name: "- role changes", newDecider: newBergamot(ablation{})})
}
