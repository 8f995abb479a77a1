package bench

// policy is one way to decide.
type policy struct {
	name string
	// decide returns the decider of one daemon.
	decide func(n *node) decider
	// split starts the engines with fixed roles.
	split bool
	// control changes roles; nil keeps them.
	control func(w *world)
}

// policies returns this system, the baselines, and this system with one mechanism
// switched off each.
func policies() []policy {
	return []policy{
		{name: "bergamotsill", decide: newOwn(without{}), control: planRoles},
		{name: "mixed least-conn", decide: newBaseline(true)},
		{name: "fixed split", decide: newBaseline(true), split: true},
		{name: "threshold roles", decide: newBaseline(true), split: true, control: thresholdRoles},
		{name: "fcfs no ranks", decide: newBaseline(false)},
	}
}

// ablations returns this system with one mechanism switched off each.
func ablations() []policy {
	list := []struct {
		name string
		off  without
	}{
		{"- ranks", without{ranks: true}},
		{"- minimum shares", without{shares: true}},
		{"- early refusal", without{refusal: true}},
		{"- engine limits", without{limits: true}},
		{"- prefix affinity", without{affinity: true}},
		{"- sent since report", without{sent: true}},
		{"- other data centres", without{remote: true}},
		{"- peer demand", without{demand: true}},
	}
	var out []policy
	for _, l := range list {
		out = append(out, policy{name: l.name, decide: newOwn(l.off), control: planRoles})
	}
	return append(out, policy{name: "- role changes", decide: newOwn(without{})})
}
