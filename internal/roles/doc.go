// Package roles proposes which engine of a data centre should change its role when
// the mix of prompts and outputs shifts. It is pure: the caller passes the time,
// and a lease holder elsewhere carries proposals out.
package roles
