// Package forward lets a host run commands on the instance connections of another host.
//
// A call is a drpc stream on a connection between two hosts that is used for nothing else
// meanwhile. It carries one command, or, if the executing host holds the instance
// connection for a transaction, the commands of that transaction. While a command waits
// or runs, the executing host reports at short intervals that it is working on it.
package forward
