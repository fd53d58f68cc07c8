// Package pool owns a host's connections to instances and lends them for one
// statement or transaction at a time.
//
// Lock order: the lock of an instance's connections is the innermost lock of
// the host; no other table is called while it is held.
package pool
