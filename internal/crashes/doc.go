// Package crashes attributes the terminations of runners to traits of the requests that were in
// flight there, so that requests that would crash further runners can be refused and all others are
// served.
//
// An Evidence owns what one daemon knows: the requests that were lost with their runner, the traits
// that requests have completed with, and the traits that are blocked. It reads no clock and uses no
// network; the caller passes the time, exchanges Reports with the other daemons and serialises the
// calls.
package crashes
