package control

import (
	"context"
	"net/http"
	"time"

	"comfreyrelay.example/relay/hostlist"
)

// listInterval is how often the platform's list is read.
const listInterval = 5 * time.Second

// HostList reads the platform's list of hosts.
type HostList struct {
	house  *House
	reader *hostlist.Reader
}

// NewHostList returns a reader of the list at the base address.
func NewHostList(house *House, baseURL string, client *http.Client) *HostList {
	return &HostList{house: house, reader: hostlist.NewReader(baseURL, client)}
}

// Run reads the list until ctx ends. A failed read changes nothing.
func (l *HostList) Run(ctx context.Context) {
	for ctx.Err() == nil {
		listed, err := l.reader.Read(ctx)
		if err != nil {
			counters.Add("hostListFailed", 1)
			l.house.log.Debug("host list not read", "error", err)
			sleep(ctx, l.house.clock, jittered(listInterval/2))
			continue
		}
		l.house.hosts.ObserveList(listed, l.house.clock.Now())
		l.house.touch()
		sleep(ctx, l.house.clock, jittered(2*listInterval))
	}
}
