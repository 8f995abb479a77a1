// Package membership tracks which daemons are alive from random probes. The cost
// per daemon does not depend on the number of daemons: each probe carries a
// bounded number of state changes. The protocol follows Das, Gupta and Motivala,
// "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
// Protocol", 2002, with one addition: when every daemon of another data centre
// stops answering, that data centre counts as cut off and its daemons do not
// count as dead.
package membership
