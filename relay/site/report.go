package site

import (
	"comfreyrelay.example/relay/fleet"
	"comfreyrelay.example/relay/quarantine"
)

// Report is what one entry observed and writes to the store for all others.
type Report struct {
	quarantine.Report
	// Lifted names an endpoint that lifted the rate limit which it had named.
	Lifted fleet.Incarnation `json:"lifted,omitzero"`
	// Limited names an endpoint that changed its rate limit, and the limit.
	Limited fleet.LimitReport `json:"limited,omitzero"`
}
