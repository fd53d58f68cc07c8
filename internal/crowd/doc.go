// Package crowd tests that entry hosts stay within their memory and their descriptors, and
// go on serving, while clients that don't behave press on them.
//
// The tests start hosts as processes on loopback and measure them, so that they run one at
// a time and apart from other load, under the build tag crowd:
//
//	go test -tags crowd -count 1 ./internal/crowd
package crowd
