package control

import (
	"context"
	"net/http"
	"time"

	"comfreyrelay.example/relay/hostlist"
)

// listInterval is the minimum pause after a successful read of the platform's host
// list; jitter makes the pause up to twice as long.
const listInterval = 5 * time.Second

// HostList periodically reads the platform's list of hosts.
type HostList struct {
	deployment *Deployment
	reader     *hostlist.Reader
}

// NewHostList returns a HostList that reads from the base URL.
func NewHostList(deployment *Deployment, baseURL string, client *http.Client) *HostList {
	return &HostList{deployment: deployment, reader: hostlist.NewReader(baseURL, client)}
}

// Run reads the list periodically until ctx ends. A failed read leaves the known
// members unchanged.
func (l *HostList) Run(ctx context.Context) {
	for ctx.Err() == nil {
		listed, err := l.reader.Read(ctx)
		if err != nil {
			counters.Add("hostListFailed", 1)
			l.deployment.log.Debug("cannot read host list", "error", err)
			sleep(ctx, l.deployment.clock, jittered(listInterval/2))
			continue
		}
		l.deployment.members.ObserveList(listed, l.deployment.clock.Now())
		l.deployment.markDirty()
		sleep(ctx, l.deployment.clock, jittered(2*listInterval))
	}
}
