// Package pool manages a host's connections to instances. A client of the pool
// acquires a connection for one statement or transaction at a time.
//
// Lock order: instance.mu is the innermost lock of the host. No other component of
// the host is called while it is held.
package pool
