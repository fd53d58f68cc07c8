// Package proxy is the root of auburnyoke's public packages. It declares the
// identifiers, units and domain types that the others share, the interfaces
// between the decision logic and the I/O code, and the refusals that clients see.
//
// The decision logic in the packages below this one is deterministic: it takes the
// current instant, random numbers and events as arguments and returns the effects
// to execute. It opens no sockets, starts no goroutines and reads no clock.
package proxy
