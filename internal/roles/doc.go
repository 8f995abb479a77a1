// Package roles proposes which engine of a data centre should change its role when the
// mix of prompts and outputs shifts. It has no side effects: the caller passes the time,
// and the holder of a lease carries proposals out.
package roles
