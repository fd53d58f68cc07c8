// Package statement classifies SQL statements by their tokens. It recognises statements
// that begin or end transactions, change settings, or leave state on a connection that a
// proxy can neither track nor restore. It is not a parser: every statement that it does
// not recognise is of kind Other.
package statement
