// Package promotion decides who is the primary of each database group and
// whether a write may be acknowledged.
//
// A write is acknowledged when Confirmations replicas of its term have received
// its log position and the host has a valid lease from as many replicas. A
// lease is not stored anywhere: an answer of a replica that still follows the
// term grants it, counted from before the question was sent. A new primary is
// promoted after Departures replicas have left the old term, with the highest
// position among them, and after every lease that they granted has expired.
// Every set of Confirmations replicas and every set of Departures replicas of
// one term have a member in common. docs/promotion.md gives the safety argument.
package promotion
