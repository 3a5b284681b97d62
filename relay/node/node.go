// Package node holds what every process of the system does at its start and
// its end: identity, listeners for operators, signals.
package node

import (
	"github.com/google/uuid"

	"comfreyrelay.example/relay/wire"
)

// Describe returns the process's own description with a new incarnation.
func Describe(set *wire.NodeSettings, role, callersAddress string) *wire.Node {
	return &wire.Node{
		Id:             set.GetId(),
		Incarnation:    uuid.Must(uuid.NewV7()).String(),
		Role:           role,
		Region:         set.GetRegion(),
		FailureDomain:  set.GetFailureDomain(),
		ControlAddress: set.GetControlAddress(),
		CallersAddress: callersAddress,
	}
}
