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
	deployment *Deployment
	reader     *hostlist.Reader
}

// NewHostList returns a reader of the list at the base address.
func NewHostList(deployment *Deployment, baseURL string, client *http.Client) *HostList {
	return &HostList{deployment: deployment, reader: hostlist.NewReader(baseURL, client)}
}

// Run reads the list until ctx ends. A failed read changes nothing.
func (l *HostList) Run(ctx context.Context) {
	for ctx.Err() == nil {
		listed, err := l.reader.Read(ctx)
		if err != nil {
			counters.Add("hostListFailed", 1)
			l.deployment.log.Debug("host list not read", "error", err)
			sleep(ctx, l.deployment.clock, jittered(listInterval/2))
			continue
		}
		l.deployment.members.ObserveList(listed, l.deployment.clock.Now())
		l.deployment.markDirty()
		sleep(ctx, l.deployment.clock, jittered(2*listInterval))
	}
}
