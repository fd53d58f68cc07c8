// Package statement classifies SQL text by its tokens. It finds the statements
// that begin and end transactions, change settings, or leave state on a
// connection that a proxy can neither track nor restore. It is not a parser:
// text that it does not know is of kind Other.
package statement
