// Package rpc implements the protocol between the proxy's hosts: drpc over mutual TLS,
// with messages in CBOR.
//
// A host acquires a connection from the pool of another host over one stream on a peer
// connection that is used for nothing else meanwhile. A frame on the stream is one byte
// for the kind followed by the payload. PostgreSQL protocol bytes are sent unencoded as
// the payload of data frames. Each direction has back-pressure, since a frame is read
// only when the previous one has been consumed.
package rpc
