package control

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/membership"
	"comfreyrelay.example/relay/wire"
)

const (
	// listTimeout bounds one call to the platform's list.
	listTimeout = 3 * time.Second
	// maxListBytes bounds its answer: 20,000 hosts fit.
	maxListBytes = 8 << 20
)

// listedHost is one line of the platform's list.
type listedHost struct {
	ID             string `json:"id"`
	Role           string `json:"role"`
	Region         string `json:"region"`
	FailureDomain  string `json:"failureDomain"`
	ControlAddress string `json:"controlAddress"`
	CallersAddress string `json:"callersAddress"`
	State          string `json:"state"`
}

// fetchList reads the platform's list of hosts.
func fetchList(ctx context.Context, client *http.Client, base string) ([]membership.Listed, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/hosts", nil)
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "the host list's address is wrong", "correct node.hostsUrl")
	}
	res, err := client.Do(req)
	if err != nil {
		return nil, failure.Wrap(err, failure.Unavailable, "the platform's host list cannot be reached", "check node.hostsUrl")
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return nil, failure.New(failure.Unavailable, "the platform's host list answered "+res.Status, "try again later")
	}
	return parseList(io.LimitReader(res.Body, maxListBytes))
}

func parseList(body io.Reader) ([]membership.Listed, error) {
	var list struct {
		Hosts []listedHost `json:"hosts"`
	}
	if err := json.NewDecoder(body).Decode(&list); err != nil {
		return nil, failure.Wrap(err, failure.Corrupt, "the platform's host list cannot be read", "check node.hostsUrl")
	}
	listed := make([]membership.Listed, 0, len(list.Hosts))
	for _, host := range list.Hosts {
		listed = append(listed, membership.Listed{State: host.State, Node: &wire.Node{
			Id:             host.ID,
			Role:           host.Role,
			Region:         host.Region,
			FailureDomain:  host.FailureDomain,
			ControlAddress: host.ControlAddress,
			CallersAddress: host.CallersAddress,
		}})
	}
	return listed, nil
}
