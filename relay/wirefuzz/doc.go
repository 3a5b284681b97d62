// Package wirefuzz feeds hostile bytes to the listener between processes; it
// holds tests only.
package wirefuzz
