// Package spec contains only tests. They check that each rule in spec/*.pml
// names the function that implements it, and that this function's doc comment
// names the rule.
package spec
