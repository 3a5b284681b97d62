package site

import (
	"comfreyrelay.example/relay/fleet"
	"comfreyrelay.example/relay/quarantine"
)

// Report is an observation that one entry writes to the store for all others.
type Report struct {
	quarantine.Report
	// Lifted names an endpoint that removed the rate limit it had announced.
	Lifted fleet.Incarnation `json:"lifted,omitzero"`
	// Limited names an endpoint that changed its rate limit, with the new limit.
	Limited fleet.LimitReport `json:"limited,omitzero"`
}
