package deployment

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/durationpb"

	"comfreyrelay.example/relay/wire"
)

// Names in the deployment's document.
const (
	ModelName   = "parcel"
	ServiceName = "notices"
	// EngineClass checks fencing numbers, LooseEngineClass ignores them.
	EngineClass      = "engine"
	LooseEngineClass = "looseEngine"
	ServiceClass     = "noticeService"
	// OperatorName submits documents.
	OperatorName = "console"
)

// OperatorKey is the bearer key of the operator who submits documents.
const OperatorKey = "operator-key-of-a-throw-away-deployment"

// Bounds on the time that a request may take.
const (
	defaultRequestTime = 10 * time.Second
	maxRequestTime     = 30 * time.Second
	drainTime          = 15 * time.Second
)

// Customer is one customer of a deployment's document.
type Customer struct {
	// Name is the customer's name in the document.
	Name string
	// Weight is the share under overload; 0 stands for 1.
	Weight float64
	// RequestsPerSecond limits the customer; 0 means no limit.
	RequestsPerSecond float64
	// Priority is 0 to 9.
	Priority uint32
}

// Key returns the customer's bearer key.
func (c Customer) Key() string { return "key-of-" + c.Name }

// Customers returns n customers; the first two are large.
func Customers(n int) []Customer {
	const large, largeWeight = 2, 4
	customers := make([]Customer, 0, n)
	for i := range n {
		customer := Customer{Name: fmt.Sprintf("customer-%03d", i), Weight: 1, Priority: 5}
		if i < large {
			customer.Weight = largeWeight
		}
		customers = append(customers, customer)
	}
	return customers
}

// Desired holds the variable parts of a document.
type Desired struct {
	Version   string
	Objective string
	// OriginCopies is the maximum number of copies that the origin may send; 0
	// selects a default that depends on the objective.
	OriginCopies   uint32
	Customers      []Customer
	MaxUnavailable uint32
	Shift          string
	Adapters       []*wire.Adapter
}

// Document builds the document for this deployment: every host serves the model.
func (d *Deployment) Document(want Desired) *wire.Document {
	names := make([]string, 0, len(want.Customers))
	doc := &wire.Document{
		Objective:    want.Objective,
		OriginCopies: originCopies(want),
		Operators:    []*wire.Operator{{Name: OperatorName, KeyHashes: []string{KeyHash(OperatorKey)}}},
		Endpoints:    endpointClasses(),
		Deadlines: &wire.Deadlines{
			DefaultRequest: durationpb.New(defaultRequestTime),
			MaxRequest:     durationpb.New(maxRequestTime),
			Drain:          durationpb.New(drainTime),
		},
	}
	for _, customer := range want.Customers {
		names = append(names, customer.Name)
		doc.Customers = append(doc.Customers, &wire.Customer{
			Name:              customer.Name,
			KeyHashes:         []string{KeyHash(customer.Key())},
			Weight:            customer.Weight,
			RequestsPerSecond: customer.RequestsPerSecond,
			Priority:          customer.Priority,
		})
	}
	doc.Models = []*wire.Model{{
		Name:           ModelName,
		Version:        want.Version,
		Adapters:       want.Adapters,
		Replicas:       d.replicas(),
		Customers:      names,
		MaxUnavailable: want.MaxUnavailable,
		Shift:          want.Shift,
	}}
	if d.config.Services > 0 {
		doc.Services = []*wire.Service{{Name: ServiceName, Endpoint: ServiceClass, Customers: names}}
	}
	return doc
}

// originCopies returns the requested limit, or the default for the objective.
func originCopies(want Desired) uint32 {
	const most = 4
	if want.OriginCopies > 0 {
		return want.OriginCopies
	}
	if want.Objective == ObjectiveOriginBytes {
		return 1
	}
	return most
}

// Objectives of a rollout.
const (
	ObjectiveTime        = "time"
	ObjectiveOriginBytes = "originBytes"
)

func endpointClasses() []*wire.EndpointClass {
	return []*wire.EndpointClass{
		{Name: EngineClass, Kind: "engine", ChecksFencing: true, CallsRepeatable: true, RefusesBeforeRun: true},
		{Name: LooseEngineClass, Kind: "engine", ChecksFencing: false, CallsRepeatable: true, RefusesBeforeRun: true},
		{Name: ServiceClass, Kind: "service", CallsRepeatable: false, RefusesBeforeRun: true},
	}
}

// replicas counts the engine hosts of each failure domain.
func (d *Deployment) replicas() []*wire.Replicas {
	counts := map[string]uint32{}
	for _, host := range d.agents {
		if host.service == "" {
			counts[host.place.FailureDomain]++
		}
	}
	var replicas []*wire.Replicas
	for _, place := range d.config.Places {
		if counts[place.FailureDomain] > 0 {
			replicas = append(replicas, &wire.Replicas{FailureDomain: place.FailureDomain, Count: counts[place.FailureDomain]})
		}
	}
	return replicas
}

// documentText encodes the document as JSON, the form in which operators write it.
func documentText(doc *wire.Document) ([]byte, error) {
	return protojson.MarshalOptions{Multiline: true}.Marshal(doc)
}
