// Package wirefuzz tests the listener for connections between processes with
// malformed input. It holds only tests.
package wirefuzz
