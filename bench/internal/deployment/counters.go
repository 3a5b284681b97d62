package deployment

import (
	"context"
	"net/http"
)

// Counters are figures that a member publishes at /debug/vars; one that it does
// not publish is 0.
type Counters struct {
	// ControlBytes were sent and received between the system's processes, without
	// chunks and answers.
	ControlBytes float64
	// ConnectionBytes is the traffic on its connections to other processes of the
	// system, including TLS overhead.
	ConnectionBytes float64
	// CrossRegionBytes counts the chunk bytes received from another region; nil
	// if the program does not count them.
	CrossRegionBytes *float64
	// AllocBytes is the cumulative size of heap allocations.
	AllocBytes float64
	// InvariantFailures counts violations that the program's own checks found.
	InvariantFailures float64
	// Vars holds every variable.
	Vars map[string]any
}

// Counters reads the member's /debug/vars.
func (d *Deployment) Counters(ctx context.Context, m *Member) (Counters, error) {
	vars := map[string]any{}
	if err := d.call(ctx, http.MethodGet, "http://"+m.operators+"/debug/vars", nil, &vars); err != nil {
		return Counters{}, err
	}
	out := Counters{Vars: vars}
	out.ControlBytes = controlBytes(vars["peerBytesIn"]) + controlBytes(vars["peerBytesOut"])
	out.ConnectionBytes = number(vars, "peerConnectionBytesIn") + number(vars, "peerConnectionBytesOut")
	if _, counted := vars["crossRegionBytes"]; counted {
		bytes := number(vars, "crossRegionBytes")
		out.CrossRegionBytes = &bytes
	}
	out.InvariantFailures = sumNumbers(vars["invariantFailures"])
	if stats, ok := vars["memstats"].(map[string]any); ok {
		out.AllocBytes = number(stats, "TotalAlloc")
	}
	return out, nil
}

// number returns a numeric variable, 0 where there is none.
func number(vars map[string]any, name string) float64 {
	value, _ := vars[name].(float64)
	return value
}

// controlBytes sums the bytes of all calls except those that carry chunks and
// requests.
func controlBytes(value any) (sum float64) {
	byCall, _ := value.(map[string]any)
	for call := range byCall {
		switch call {
		case "hostChunk", "hostRun", "hostCancel", "controlClaim", "controlSettle":
		default:
			sum += number(byCall, call)
		}
	}
	return sum
}

// sumNumbers returns the sum of a variable that is a number or a (nested) map of
// numbers.
func sumNumbers(value any) (sum float64) {
	switch value := value.(type) {
	case float64:
		return value
	case map[string]any:
		for _, element := range value {
			sum += sumNumbers(element)
		}
	}
	return sum
}
