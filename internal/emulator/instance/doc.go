// Package instance emulates a PostgreSQL database instance: the wire protocol,
// one table kv(key text primary key, value text), transactions with row locks,
// and replication of a log from a primary to replicas, with settable faults.
//
// Engine holds the table, the log and the row locks. Methods that need the current
// time take it as an argument, and none starts goroutines or timers, so that tests can
// run an engine on virtual time. Instance adds the listeners, the sessions and the timers.
package instance
