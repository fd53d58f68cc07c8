// Package experiment runs a whole installation in one process on loopback, applies
// a seeded open-loop load, injects one failure, and compares the measurements with
// the targets of docs/design.md, section 1.3.
package experiment
