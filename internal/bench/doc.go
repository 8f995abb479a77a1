// Package bench runs the decision packages of the daemon against simulated engines on
// virtual time and compares them with simpler policies under the same load and faults.
// The result of a run depends only on its seed.
package bench
