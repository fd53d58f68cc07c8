// Package entry is an entry host on a platform with a metadata store: it serves
// client sessions, watches the operator's configuration and the registered
// instances, and replaces primaries together with the other hosts. Package
// platform translates for it.
//
// Lock order: Host.applying, the beliefs, then the tables of dispatch and
// allowance.
package entry
