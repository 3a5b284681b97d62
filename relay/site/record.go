// Package site keeps one process's view of its deployment: the current catalog, the
// endpoints, the entries, the declared versions of the weights, and how old that view is.
package site

import (
	"time"

	"comfreyrelay.example/relay/catalog"
	"comfreyrelay.example/relay/fleet"
)

// RecordKind is the type of object that a key of the store holds.
type RecordKind int

// The kinds of records. A record of the zero kind is ignored.
const (
	CatalogRecord RecordKind = iota + 1
	WeightsRecord
	EndpointRecord
	EntryRecord
	ReportRecord
)

// Record is a decoded key of the store.
type Record struct {
	Kind RecordKind
	// ID names the model, the endpoint or the entry.
	ID      string
	Removed bool // the key was deleted, or its value is unusable
	// Withdrawn is set if the key's present value names nothing usable. Unlike a
	// registration that lapsed, it was not lost in an outage, so its use ends at once.
	Withdrawn bool
	// Revision is that of the key's last change; 0 means the revision of the update that
	// the record came with.
	Revision uint64
	// MaxDelay is the longest time that may have passed between the change and its receipt.
	MaxDelay time.Duration
	// Only the field that belongs to Kind is set, and none if Removed is.
	Catalog  *catalog.Catalog
	Weights  uint64 // declared version
	Endpoint fleet.Registration
	Entry    Entry
	Reports  []Report
}

// Entry is an entry's registration.
type Entry struct {
	CallersAddress string `json:"callersAddress"`
	Region         string `json:"region"`
	FailureDomain  string `json:"failureDomain"`
	// ControlAddress is the address at which other entries follow this one. It is empty
	// if this entry cannot be followed.
	ControlAddress string `json:"controlAddress,omitempty"`
	Incarnation    string `json:"incarnation"`
	Lease          string `json:"lease"`
}
