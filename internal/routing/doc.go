// Package routing chooses the upstream for a request from an immutable snapshot of the
// fleet.
package routing
