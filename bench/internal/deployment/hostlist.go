package deployment

import (
	"context"
	"net/http"
)

// States of a host in the platform's list.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

// HostLine is one host in the platform's list.
type HostLine struct {
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

type hostList struct {
	Hosts []HostLine `json:"hosts"`
}

func (m *Member) hostLine(state string) HostLine {
	return HostLine{
		ID:             m.id,
		Role:           m.kind,
		Region:         m.place.Region,
		FailureDomain:  m.place.FailureDomain,
		ControlAddress: m.control,
		CallersAddress: m.callers,
		Endpoint:       m.endpoint,
		Service:        m.service,
		State:          state,
	}
}

// List puts the member into the platform's list as live.
func (d *Deployment) List(ctx context.Context, m *Member) error {
	return d.putHost(ctx, m, stateLive)
}

// ListLeaving marks the member as leaving in the platform's list.
func (d *Deployment) ListLeaving(ctx context.Context, m *Member) error {
	return d.putHost(ctx, m, stateLeaving)
}

// Unlist takes the member out of the platform's list.
func (d *Deployment) Unlist(ctx context.Context, m *Member) error {
	return d.call(ctx, http.MethodDelete, d.hostsURL+"/hosts/"+m.id, nil, nil)
}

func (d *Deployment) putHost(ctx context.Context, m *Member, state string) error {
	return d.call(ctx, http.MethodPut, d.hostsURL+"/hosts/"+m.id, m.hostLine(state), nil)
}
