// Package standin holds small fakes of the systems around the daemon: the
// platform's log service, VM list and weight store, model engines and plain
// services. They are for tests and the demo. Each is an http.Handler with
// switches that bring about the failures that the real system may show.
package standin
