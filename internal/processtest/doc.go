// Package processtest holds tests that run the programs as separate processes and
// send them signals. It has no code of its own.
package processtest
