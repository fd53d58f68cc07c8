// Package experiment runs a whole installation in one process on loopback, puts
// a seeded open-loop load on it, injects one failure, and measures the targets
// of the design page, section 1.3.
package experiment
