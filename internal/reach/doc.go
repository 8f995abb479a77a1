// Package reach decides whether a daemon reaches the runners of a service, from its own contacts with
// them. A runner to which no connection opens may have terminated, or the daemon has lost its paths to
// all runners: other runners of the service tell. The package needs no network and no clock.
package reach
