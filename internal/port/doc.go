// Package port defines the interfaces and wire types through which the daemon
// communicates with external systems: the log service, the VM list, the weight
// store, engines, plain services and peers. It depends on the standard library only.
package port
