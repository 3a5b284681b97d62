// Package e2e runs the built programs as a user would, by the scripts in
// test/; it holds tests only.
package e2e
