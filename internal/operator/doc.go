// Package operator implements the commands of the operators' command-line
// client. Operators check a document, try it in the trial stage, promote it to
// production and see where it is in force.
package operator
