package document

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"comfreyrelay.example/relay/wire"
)

// Bearer keys in the example document. They are public and therefore only for
// tests and demonstrations.
const (
	ExampleOperatorKey = "example-operator-key"
	ExampleCustomerKey = "example-customer-key"
)

// exampleVersion is a placeholder for the hash of a manifest.
const exampleVersion = "0000000000000000000000000000000000000000000000000000000000000000"

// Example returns a small valid document.
func Example() *wire.Document {
	return &wire.Document{
		Schema:       "document.schema.json",
		Objective:    ObjectiveTime,
		OriginCopies: 4,
		Models: []*wire.Model{{
			Name:    "parcel",
			Version: exampleVersion,
			Replicas: []*wire.Replicas{
				{FailureDomain: "zona-uno", Count: 2},
				{FailureDomain: "xela-sala", Count: 1},
			},
			Customers:      []string{"counter"},
			MaxUnavailable: 1,
			Shift:          ShiftAsHostsTurn,
		}},
		Customers: []*wire.Customer{{
			Name:              "counter",
			KeyHashes:         []string{KeyHash(ExampleCustomerKey)},
			Weight:            2,
			RequestsPerSecond: 200,
			TokensPerSecond:   20000,
			Priority:          9,
			RetryRatio:        0.1,
		}},
		Operators: []*wire.Operator{{Name: "first-operator", KeyHashes: []string{KeyHash(ExampleOperatorKey)}}},
		Endpoints: []*wire.EndpointClass{
			{Name: "engine", Kind: KindEngine, ChecksFencing: true, CallsRepeatable: true, RefusesBeforeRun: true},
			{Name: "notices", Kind: KindService, RefusesBeforeRun: true},
		},
		Services: []*wire.Service{{Name: "notices", Endpoint: "notices", Customers: []string{"counter"}}},
		Deadlines: &wire.Deadlines{
			DefaultRequest: durationpb.New(10 * time.Second),
			MaxRequest:     durationpb.New(time.Minute),
			Drain:          durationpb.New(30 * time.Second),
		},
	}
}
