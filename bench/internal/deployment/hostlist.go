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

// HostLine is the entry of one host in the platform's host list.
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

// List adds the member to the platform's host list in the state live.
func (d *Deployment) List(ctx context.Context, m *Member) error {
	return d.putHost(ctx, m, stateLive)
}

// ListLeaving sets the member's state in the platform's host list to leaving.
func (d *Deployment) ListLeaving(ctx context.Context, m *Member) error {
	return d.putHost(ctx, m, stateLeaving)
}

// Unlist removes the member from the platform's host list.
func (d *Deployment) Unlist(ctx context.Context, m *Member) error {
	return d.call(ctx, http.MethodDelete, d.hostsURL+"/hosts/"+m.id, nil, nil)
}

func (d *Deployment) putHost(ctx context.Context, m *Member, state string) error {
	return d.call(ctx, http.MethodPut, d.hostsURL+"/hosts/"+m.id, m.hostLine(state), nil)
}
