package roles

import (
	"slices"

	"bergamotsill.example/bergamotsill/internal/port"
)

// Speed is the throughput of one engine in tokens per second: of prompts if it only
// prefills, of outputs if it only decodes.
type Speed struct {
	Prompt float64
	Output float64
}

// advantage returns the ratio of prompt to output throughput; +Inf for a role without output.
func (s Speed) advantage() float64 { return s.Prompt / s.Output }

// Speeds holds the speed of each role.
type Speeds map[port.Role]Speed

// byAdvantage returns the roles with a speed, ordered by falling advantage for prompts.
// Engines in other roles are assumed to contribute nothing.
func (s Speeds) byAdvantage() []port.Role {
	list := []port.Role{port.RolePrefill, port.RoleMixed, port.RoleDecode}
	list = slices.DeleteFunc(list, func(role port.Role) bool { return s[role] == Speed{} })
	slices.SortStableFunc(list, func(a, b port.Role) int {
		switch x, y := s[a].advantage(), s[b].advantage(); {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return list
}

// maxUtilisation is the largest utilisation that is returned, such as for a demand to which no
// engine contributes.
const maxUtilisation = 1000

// utilisation returns the lowest share of their time that engines in the given roles need to
// satisfy the demand; above 1 if they cannot. Prompts are assigned first to the roles with
// the highest advantage, which is optimal for two kinds of work.
func (s Speeds) utilisation(counts map[port.Role]int, d Demand) float64 {
	order := s.byAdvantage()
	low, high := 0.0, float64(maxUtilisation)
	// 40 bisection steps reach a precision far below any margin.
	for range 40 {
		mid := (low + high) / 2
		if s.satisfies(order, counts, d, mid) {
			high = mid
		} else {
			low = mid
		}
	}
	return high
}

// satisfies reports whether engines that work the given share of their time satisfy the demand.
// order lists the roles by falling advantage for prompts.
func (s Speeds) satisfies(order []port.Role, counts map[port.Role]int, d Demand, share float64) bool {
	prompt, output := d.Prompt, d.Output
	for _, role := range order {
		seconds := share * float64(counts[role])
		if prefill := min(seconds, prompt/s[role].Prompt); prefill > 0 {
			prompt -= prefill * s[role].Prompt
			seconds -= prefill
		}
		output -= seconds * s[role].Output
	}
	const rounding = 1e-9
	return prompt <= rounding*(1+d.Prompt) && output <= rounding*(1+d.Output)
}
