package capacity

import (
	"encoding/json"
	"fmt"
)

// Cases of the platform's list.
const (
	caseListBytes  = "hostListBytes/hosts"
	caseListMillis = "hostListMillis/hosts"
)

// listedHost is one line of the platform's list, as docs/PROTOCOLS.md has it.
type listedHost struct {
	ID             string `json:"id"`
	Role           string `json:"role"`
	Region         string `json:"region"`
	FailureDomain  string `json:"failureDomain"`
	ControlAddress string `json:"controlAddress"`
	CallersAddress string `json:"callersAddress"`
	Endpoint       string `json:"endpoint"`
	Service        string `json:"service"`
	State          string `json:"state"`
}

// measureList prints the bytes of one reading of the platform's list, which
// every process reads, and the time to decode it.
func measureList(lines *printer) error {
	for _, n := range hostSizes {
		list := struct {
			Hosts []listedHost `json:"hosts"`
		}{}
		for i := range n {
			host := node("agent", i)
			list.Hosts = append(list.Hosts, listedHost{
				ID: host.GetId(), Role: "agent", Region: host.GetRegion(), FailureDomain: host.GetFailureDomain(),
				ControlAddress: host.GetControlAddress(), Endpoint: "engine", State: "live",
			})
		}
		text, err := json.Marshal(list)
		if err != nil {
			return err
		}
		lines.line(caseListBytes, n, float64(len(text)), "bytes")
		lines.line(caseListMillis, n, micros(func() { err = json.Unmarshal(text, &list) })/1_000, "milliseconds")
		if err != nil {
			return fmt.Errorf("list of %d hosts: %w", n, err)
		}
	}
	return nil
}
