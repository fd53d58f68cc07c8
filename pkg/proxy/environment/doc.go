// Package environment decodes, checks, compares and edits the YAML documents that
// describe an environment. It also defines the envelopes, audit records and host
// statuses that the platform's object store keeps, and generates account keys with
// their verifiers.
//
// The package reads no clock and no random source; callers pass times and random
// bytes in. Errors, differences, audit records and statuses never contain
// verifiers or keys.
package environment
