// Package e2e contains only tests. They run the built programs with the
// testscript files in test/, as a user would run them.
package e2e
