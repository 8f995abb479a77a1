// Package bench runs the real decision packages before small fake engines on
// virtual time and compares them with simpler policies under the same load and
// faults. Every run depends on its seed only.
package bench
