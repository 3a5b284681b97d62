package house

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
	// CrossRegionBytes of chunks came from another region.
	CrossRegionBytes float64
	// AllocBytes is all memory ever allocated.
	AllocBytes float64
	// Vars holds every variable.
	Vars map[string]any
}

// Counters reads the member's /debug/vars.
func (h *House) Counters(ctx context.Context, m *Member) (Counters, error) {
	vars := map[string]any{}
	if err := h.call(ctx, http.MethodGet, "http://"+m.operators+"/debug/vars", nil, &vars); err != nil {
		return Counters{}, err
	}
	out := Counters{Vars: vars}
	out.ControlBytes = number(vars, "controlBytes")
	out.CrossRegionBytes = number(vars, "crossRegionBytes")
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
