// Package environment handles the document that describes an environment:
// decoding and checking it, comparing two of them, the envelopes and audit
// records that the platform stores, and account keys.
//
// Nothing in this package reads a clock or a random source. Verifiers and keys
// appear in no error, difference, audit record or status of this package.
package environment
