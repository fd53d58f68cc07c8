// Package soak runs entry hosts as separate processes against the emulated
// deployment, injects faults from outside them, and checks the promises of the
// system from what callers and instances see.
//
// A seed determines the schedule of the faults and what callers do; the order in
// which processes act remains the machine's.
package soak
