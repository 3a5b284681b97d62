package control

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/membership"
	"comfreyrelay.example/relay/wire"
)

const (
	// listInterval is how often the platform's list is read.
	listInterval = 5 * time.Second
	// listTimeout bounds one read of it.
	listTimeout = 3 * time.Second
	// maxListBytes bounds its size.
	maxListBytes = 16 << 20
)

// listedHost is one line of the platform's list.
type listedHost struct {
	ID             string `json:"id"`
	Role           string `json:"role"`
	Region         string `json:"region"`
	FailureDomain  string `json:"failureDomain"`
	ControlAddress string `json:"controlAddress"`
	CallersAddress string `json:"callersAddress"`
	Service        string `json:"service"`
	State          string `json:"state"`
}

// HostList reads the platform's list of hosts.
type HostList struct {
	house  *House
	url    string
	client *http.Client
}

// NewHostList returns a reader of the list at the base address.
func NewHostList(house *House, baseURL string, client *http.Client) *HostList {
	return &HostList{house: house, url: baseURL + "/hosts", client: client}
}

// Run reads the list until ctx ends. A failed read changes nothing.
func (l *HostList) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := l.read(ctx); err != nil {
			counters.Add("hostListFailed", 1)
			l.house.log.Debug("host list not read", "error", err)
			sleep(ctx, l.house.clock, jittered(listInterval/2))
			continue
		}
		sleep(ctx, l.house.clock, jittered(2*listInterval))
	}
}

func (l *HostList) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, http.NoBody)
	if err != nil {
		return failure.Wrap(err, failure.Invalid, "the host list's address is wrong", "correct node.hostsUrl in the settings")
	}
	reply, err := l.client.Do(req)
	if err != nil {
		return failure.Wrap(err, failure.Unavailable, "the host list does not answer", "check the platform's host list")
	}
	defer func() { _ = reply.Body.Close() }()
	if reply.StatusCode != http.StatusOK {
		return failure.New(failure.Unavailable, fmt.Sprintf("the host list answered %d", reply.StatusCode), "check the platform's host list")
	}
	var body struct {
		Hosts []listedHost `json:"hosts"`
	}
	if err := json.NewDecoder(io.LimitReader(reply.Body, maxListBytes)).Decode(&body); err != nil {
		return failure.Wrap(err, failure.Corrupt, "the host list cannot be read", "check the platform's host list")
	}
	l.take(body.Hosts)
	return nil
}

func (l *HostList) take(hosts []listedHost) {
	list := make([]membership.Listed, 0, len(hosts))
	for _, host := range hosts {
		list = append(list, membership.Listed{
			Node: &wire.Node{
				Id: host.ID, Role: host.Role, Region: host.Region, FailureDomain: host.FailureDomain,
				ControlAddress: host.ControlAddress, CallersAddress: host.CallersAddress,
			},
			State:   host.State,
			Service: host.Service,
		})
	}
	l.house.hosts.HearList(list, l.house.clock.Now())
	l.house.touch()
}
