// Package spec has a test alone: each rule of the specification names the
// function that implements it, and that function names the rule.
package spec
