// Package entry implements an entry host on a platform with a metadata store. It
// serves client sessions, watches the operator's configuration and the registered
// instances, and coordinates the failover of primaries with the other hosts.
// Package platform translates the platform's formats and protocols for it.
//
// Locks are taken in this order: Host.applying, clusterState.mu, then the locks of
// the dispatch and allowance tables and of rejectedRecords.
package entry
