// Package protocols contains only tests. They run the commands shown in
// docs/PROTOCOLS.md against a small deployment and compare the answers with the
// documented ones, and they run the operator scripts in test/operators.
package protocols
