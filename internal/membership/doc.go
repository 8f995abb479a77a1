// Package membership tracks which daemons are alive by random probes. The cost per
// daemon does not depend on the number of daemons: each probe carries a bounded number
// of state changes. The protocol follows Das, Gupta and Motivala, "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", 2002, with one
// addition: when no daemon of another data centre responds, that data centre is
// considered cut off and its daemons are not considered dead.
package membership
