// Package operator implements the commands of the operators' command-line client.
// Operators use it to check a document, put it in force in the trial stage, promote it
// to production and see on which hosts it is in force.
package operator
