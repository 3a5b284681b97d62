// Package node holds what all processes of the system share at startup and
// shutdown: identity, the operators' HTTP routes and signal handling.
package node

import (
	"github.com/google/uuid"

	"comfreyrelay.example/relay/wire"
)

// Describe returns the process's own wire.Node with a new incarnation ID.
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
