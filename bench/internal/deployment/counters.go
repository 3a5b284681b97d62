package deployment

import (
	"context"
	"net/http"
)

// Counters are figures that a member publishes at /debug/vars; 0 where it
// publishes none.
type Counters struct {
	// ControlBytes were sent and received between the system's processes, but
	// for chunks and answers.
	ControlBytes float64
	// ConnectionBytes is all that its connections to other processes of the
	// system carried, TLS included.
	ConnectionBytes float64
	// CrossRegionBytes of chunks came from another region; nil where the
	// program does not count them.
	CrossRegionBytes *float64
	// AllocBytes is all memory ever allocated.
	AllocBytes float64
	// InvariantFailures counts what the program itself found broken.
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

// controlBytes sums the bytes by call, but for chunks and requests.
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

// sumNumbers sums a variable that is a number or a map of numbers.
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
