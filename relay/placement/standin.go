package placement

import (
	"time"

	"comfreyrelay.example/relay/wire"
)

// StandInAfter is the age of the knowledge from which on hosts stand in by
// themselves: a planner that lives writes a plan well before.
const StandInAfter = time.Minute

// StandIn returns what a host without an assignment should serve while nobody
// can write a plan, because the service is down: a replacement must not
// wait for the outage's end. It returns nil where the host has an assignment or
// is not needed.
//
// The hosts of a failure domain that know the same decide the same; where they
// know different things one replica too many is loaded, never one too few,
// since nobody gives up an assignment by this rule. The planner, once it is
// back, prefers hosts that serve already, and so keeps the stand-ins.
func StandIn(in Input, self string) *wire.Assignment {
	if byHost(in.Previous)[self] != nil {
		return nil
	}
	for _, assignment := range Next(in).GetAssignments() {
		if assignment.GetHost() == self {
			return assignment
		}
	}
	return nil
}
