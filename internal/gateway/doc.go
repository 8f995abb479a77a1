// Package gateway forwards requests that the product does not interpret to the runners
// of a fleet: plain services and engines behind the ports of internal/port. It follows
// the operators' configuration and the registry of runners, shares its load with the
// other daemons, and serves clients.
//
// The request path reads the configuration through an atomic pointer; the model of the
// runners is in internal/placement.
package gateway
