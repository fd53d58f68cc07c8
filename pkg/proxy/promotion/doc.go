// Package promotion decides which instance is the primary of each database group
// and whether a write may be acknowledged.
//
// The history of a group is divided into numbered terms, each with one primary.
// A write is acknowledged when a write quorum of replicas of its term has
// received its log position and the host holds valid leases from as many
// replicas. A lease is not stored anywhere: a replica that answers a probe and
// still follows the term grants it implicitly, counted from the instant before the
// probe was sent.
//
// A new primary is promoted in a failover, after the primary has failed, or in a
// switchover, which is a planned change. In both cases an election quorum of
// replicas first leaves the old term. The one with the highest log position is
// promoted once every lease that the replicas granted has expired. Any write
// quorum and any election quorum of a term have a replica in common, so the new
// primary has every acknowledged write. docs/promotion.md gives the safety
// argument.
package promotion
