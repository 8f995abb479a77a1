// Package gateway forwards requests whose content it does not interpret to the runners of a
// fleet: plain services, and engines behind the ports of internal/port. It follows the
// operators' configuration and the registry of runners, exchanges its load with other daemons,
// and serves clients.
//
// The request path reads the configuration through an atomic pointer; the model of the runners
// is in internal/placement.
package gateway
