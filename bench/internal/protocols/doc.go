// Package protocols runs the commands of docs/PROTOCOLS.md against a small
// deployment and compares the answers with those shown, and the operators' scenarios
// of test/operators; it holds tests only.
package protocols
