// Package placement models the load and the prompt caches of the engines and plain
// services of a fleet and chooses the runner for each request. It targets loads that are
// limited by prefill: long prompts with shared parts mixed with short requests, on engines
// that prefill at full speed (prefill role) or at a lower rate between the tokens of other
// requests (decode role). The package performs no I/O and reads no clock; callers pass the
// current time.
package placement
