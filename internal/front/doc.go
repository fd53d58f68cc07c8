// Package front is the client side of the proxy. It accepts connections that
// speak the PostgreSQL protocol 3, authenticates account keys, keeps sessions
// and runs each transaction on one loan of an instance connection.
//
// A session is served by one goroutine. That goroutine owns the loan; another
// goroutine only cancels the running statement or takes the loan away with a
// broken release, which makes the session's pending Receive or Flush fail.
//
// Two invariants are asserted while the program runs: a reply goes only to the
// session that asked for it, and a loan is released without Broken only in the
// protocol state idle. A violation refuses the reply, is logged and counted.
package front
