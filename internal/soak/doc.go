// Package soak runs entry hosts as separate processes against the emulated
// deployment, injects faults from outside the processes, and checks the system's
// guarantees against what clients and instances observe.
//
// A seed determines the schedule of the faults and the statements of the clients.
// It does not determine how the operating system schedules the processes.
package soak
