// Package site keeps what one process knows of its deployment: the catalog in
// force, the endpoints, the entries and the weights wanted, and how old that
// knowledge is.
package site

import (
	"time"

	"comfreyrelay.example/relay/catalog"
	"comfreyrelay.example/relay/fleet"
)

// RecordKind says what a key of the store holds.
type RecordKind int

// The kinds; the zero kind holds nothing of concern.
const (
	CatalogRecord RecordKind = iota + 1
	WeightsRecord
	EndpointRecord
	EntryRecord
	ReportRecord
)

// Record is one key of the store, decoded.
type Record struct {
	Kind RecordKind
	// ID is the model, the endpoint or the entry.
	ID   string
	Gone bool
	// Withdrawn: what stands there now names nothing to use. Unlike one that
	// lapsed, it was not lost in an outage and is used no more at once.
	Withdrawn bool
	// Revision of the key's last change; 0: that of the whole reading.
	Revision uint64
	// Late is how long before it was learned the change may have been made.
	Late time.Duration
	// Exactly the field of the kind is set, where the key is not gone.
	Catalog  *catalog.Catalog
	Weights  uint64 // version declared
	Endpoint fleet.Registration
	Entry    Entry
	Reports  []Report
}

// Entry is an entry's registration.
type Entry struct {
	CallersAddress string `json:"callersAddress"`
	Region         string `json:"region"`
	FailureDomain  string `json:"failureDomain"`
	// ControlAddress is where other entries follow this one; empty where it
	// cannot be followed.
	ControlAddress string `json:"controlAddress,omitempty"`
	Incarnation    string `json:"incarnation"`
	Lease          string `json:"lease"`
}
