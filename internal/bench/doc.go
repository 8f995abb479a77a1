// Package bench runs the decision packages of the daemon against simulated engines on
// virtual time and compares them with simpler policies under the same load and faults.
// The result of a run depends only on its seed.
//
// The files disagg*.go emulate the gateway's fleet, with disaggregated prefill and decode:
// several daemons, each with a placement.Fleet, report their loads to each other with a delay.
package bench
