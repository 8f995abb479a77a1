package bench

// policy is a scheduling policy under test.
type policy struct {
	name string
	// newScheduler returns the scheduler of one daemon.
	newScheduler func(n *node) scheduler
	// fixedSplit starts engines as prefill or decode engines instead of mixed ones; see
	// fixedSplitRole.
	fixedSplit bool
	// startRoleControl starts the control of engine roles. If it is nil, roles do not
	// change.
	startRoleControl func(sim *simulation)
}

// policies returns bergamotsill and the baselines. Bergamotsill comes first.
func policies() []policy {
	return []policy{
		{name: "bergamotsill", newScheduler: newBergamot(ablation{}), startRoleControl: planRoles},
		{name: "mixed least-conn", newScheduler: newBaseline(true)},
		{name: "fixed split", newScheduler: newBaseline(true), fixedSplit: true},
		{name: "threshold roles", newScheduler: newBaseline(true), fixedSplit: true, startRoleControl: thresholdRoles},
		{name: "fcfs no ranks", newScheduler: newBaseline(false)},
	}
}

// ablations returns variants of bergamotsill with one mechanism switched off in each.
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
		{"- sent since report", ablation{inFlightTokens: true}},
		{"- other data centres", ablation{overflow: true}},
		{"- peer demand", ablation{peerDemand: true}},
	}
	var out []policy
	for _, l := range list {
		out = append(out, policy{name: l.name, newScheduler: newBergamot(l.disabled), startRoleControl: planRoles})
	}
	return append(out, policy{name: "- role changes", newScheduler: newBergamot(ablation{})})
}
