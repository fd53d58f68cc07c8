// Package proxy is the root of auburnyoke's public packages. It declares the
// identifiers, units and domain types that the others share, the interfaces
// between decisions and the outside, and the refusals that callers see.
//
// The decisions below this package are deterministic: they take the current
// instant, random numbers and events as arguments and return what to do. None
// of them opens a socket, starts a goroutine or reads a clock.
package proxy
