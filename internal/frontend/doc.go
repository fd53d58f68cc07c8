// Package frontend is the client side of the proxy. It accepts connections that
// speak the PostgreSQL protocol 3, authenticates account keys, keeps sessions
// and runs each transaction on one acquired connection to an instance.
//
// One goroutine serves a session and uses its acquired connection. Other
// goroutines only cancel the running statement, or close the acquired connection
// by releasing it as broken. The session's pending Receive or Flush then fails.
//
// Two invariants are checked at run time: a reply goes only to the session that
// sent the request, and a connection is released for reuse (without Broken) only
// in the transaction state idle. A violation is logged and counted. The reply is
// then not passed to the client, or the connection is closed instead of reused.
package frontend
