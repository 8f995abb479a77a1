// Package standin provides lightweight stand-ins for the systems around the daemon: the
// platform's log service, VM list and weight store, model engines and plain services.
// Tests and the demo use them. Each stand-in is an http.Handler with faults that can be
// switched on to reproduce failures of the real system.
package standin
