// Package inner is the protocol between the system's own hosts: drpc over mutual
// TLS, with messages in CBOR.
//
// A loan of a remote connection is one stream on a peer connection of its own.
// Its frames are a byte for the kind and the payload; PostgreSQL protocol bytes
// travel unencoded as the payload of data frames. The transport gives each
// direction back-pressure, since a frame is read only when the previous one was
// consumed.
package inner
