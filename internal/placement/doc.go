// Package placement models the engines and services of a fleet and chooses where a
// request runs. It answers loads in which reading prompts binds: long prompts with
// shared parts next to short exchanges, on engines that read prompts fast (prefill) or
// at a lower rate between the tokens of other requests (decode). It has no network and
// no clock of its own.
package placement
