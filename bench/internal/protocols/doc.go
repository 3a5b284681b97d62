// Package protocols runs the commands of docs/PROTOCOLS.md against a small
// house and compares the answers with those shown; it holds tests only.
package protocols
