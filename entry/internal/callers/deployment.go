package callers

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"comfreyrelay.example/relay/wire"
)

// keyHash is the SHA-256 of a bearer key.
type keyHash [sha256.Size]byte

// deployment holds the parts of one document that are needed to handle requests,
// indexed for lookups.
type deployment struct {
	document  *wire.Document // nil while none is in force
	customers map[keyHash]*customer
	models    map[string]*wire.Model
	services  map[string]*wire.Service
	classes   map[string]*wire.EndpointClass
}

// newDeployment indexes the document. The customers' state is taken from states,
// which outlives documents.
func newDeployment(document *wire.Document, states *customers) *deployment {
	built := &deployment{
		document:  document,
		customers: make(map[keyHash]*customer),
		models:    make(map[string]*wire.Model),
		services:  make(map[string]*wire.Service),
		classes:   make(map[string]*wire.EndpointClass),
	}
	for _, model := range document.GetModels() {
		built.models[model.GetName()] = model
	}
	for _, service := range document.GetServices() {
		built.services[service.GetName()] = service
	}
	for _, class := range document.GetEndpoints() {
		built.classes[class.GetName()] = class
	}
	for _, spec := range document.GetCustomers() {
		built.addCustomer(states.upsert(spec), spec)
	}
	return built
}

// addCustomer adds the customer under each of its key hashes.
func (d *deployment) addCustomer(state *customer, spec *wire.Customer) {
	for _, text := range spec.GetKeyHashes() {
		raw, err := hex.DecodeString(text)
		if err != nil || len(raw) != sha256.Size {
			continue // can't happen: document validation rejects it
		}
		d.customers[keyHash(raw)] = state
	}
}

// deadline returns how long a request may take: the time that the caller asked
// for or the default, limited by the document's maximum and by maxDeadline.
func (d *deployment) deadline(askedMillis int64) time.Duration {
	limits := d.document.GetDeadlines()
	longest := min(maxDeadline, orDefault(limits.GetMaxRequest().AsDuration(), maxDeadline))
	requested := time.Duration(askedMillis) * time.Millisecond
	if requested <= 0 {
		requested = orDefault(limits.GetDefaultRequest().AsDuration(), defaultDeadline)
	}
	return min(requested, longest)
}

// orDefault returns value if it is positive, otherwise fallback.
func orDefault(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}

// allows reports whether the customer is on the list of customers.
func allows(customers []string, name string) bool { return slices.Contains(customers, name) }
