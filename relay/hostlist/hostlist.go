// Package hostlist reads the platform's list of hosts, which may lag behind the
// actual hosts. Requests are conditional on the entity tag, so that an unchanged
// list costs a few hundred bytes whatever the number of hosts.
package hostlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/membership"
	"comfreyrelay.example/relay/wire"
)

const (
	// timeout limits one read of the list.
	timeout = 3 * time.Second
	// maxBytes limits the size of the list; a list of 40,000 hosts fits.
	maxBytes = 16 << 20
)

// hostJSON is one host of the list, as specified in docs/PROTOCOLS.md.
type hostJSON struct {
	ID             string `json:"id"`
	Role           string `json:"role"`
	Region         string `json:"region"`
	FailureDomain  string `json:"failureDomain"`
	ControlAddress string `json:"controlAddress"`
	CallersAddress string `json:"callersAddress"`
	Service        string `json:"service"`
	State          string `json:"state"`
}

// Reader reads one list repeatedly and caches the last one received.
type Reader struct {
	url    string
	client *http.Client

	mu     sync.Mutex
	tag    string              // entity tag of listed; empty if the platform sent none
	listed []membership.Listed // last list received
}

// NewReader returns a Reader for the list under baseURL.
func NewReader(baseURL string, client *http.Client) *Reader {
	return &Reader{url: baseURL + "/hosts", client: client}
}

// Read returns the current list. The caller must not modify it.
func (r *Reader) Read(ctx context.Context) ([]membership.Listed, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.url, http.NoBody)
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "the host list's address is wrong", "correct node.hostsUrl in the settings")
	}
	if r.tag != "" {
		req.Header.Set("If-None-Match", r.tag)
	}
	reply, err := r.client.Do(req)
	if err != nil {
		return nil, failure.Wrap(err, failure.Unavailable, "the platform's host list cannot be reached", "check node.hostsUrl and the list itself")
	}
	defer func() { _ = reply.Body.Close() }()
	return r.readReply(reply)
}

// readReply returns the list in reply, or the cached one if it is unchanged. The
// caller holds r.mu.
func (r *Reader) readReply(reply *http.Response) ([]membership.Listed, error) {
	switch reply.StatusCode {
	case http.StatusNotModified:
		return r.listed, nil
	case http.StatusOK:
	default:
		return nil, failure.New(failure.Unavailable, "the platform's host list answered "+reply.Status, "try again later")
	}
	listed, err := Parse(io.LimitReader(reply.Body, maxBytes))
	if err != nil {
		return nil, err
	}
	r.listed, r.tag = listed, reply.Header.Get("ETag")
	return listed, nil
}

// Parse decodes the JSON body of a list.
func Parse(body io.Reader) ([]membership.Listed, error) {
	var list struct {
		Hosts []hostJSON `json:"hosts"`
	}
	if err := json.NewDecoder(body).Decode(&list); err != nil {
		return nil, failure.Wrap(err, failure.Corrupt, "the platform's host list cannot be read", "check node.hostsUrl and the list itself")
	}
	listed := make([]membership.Listed, 0, len(list.Hosts))
	for _, host := range list.Hosts {
		listed = append(listed, membership.Listed{
			State:   host.State,
			Service: host.Service,
			Node: &wire.Node{
				Id:             host.ID,
				Role:           host.Role,
				Region:         host.Region,
				FailureDomain:  host.FailureDomain,
				ControlAddress: host.ControlAddress,
				CallersAddress: host.CallersAddress,
			},
		})
	}
	return listed, nil
}
