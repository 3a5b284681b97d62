package control

import (
	"context"

	"comfreyrelay.example/relay/hostlist"
)

// refresh publishes the state every publishInterval until ctx is done.
func (c *Client) refresh(ctx context.Context) {
	ticker := c.cfg.Clock.NewTicker(publishInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			c.publish()
		}
	}
}

// readList reads the platform's host list periodically. Errors and empty lists
// leave the state unchanged.
func (c *Client) readList(ctx context.Context) {
	reader := hostlist.NewReader(c.cfg.HostsURL, c.cfg.HTTP)
	for ctx.Err() == nil {
		listed, err := reader.Read(ctx)
		if err != nil {
			c.cfg.Counters.Add("listFailed", 1)
			c.cfg.Log.Debug("host list not read", "error", err)
		} else {
			c.knowledge.observeList(listed, c.cfg.Clock.Now())
		}
		wait := initialListInterval
		if c.Synced() {
			wait = listInterval
		}
		c.sleep(ctx, jitter(wait))
	}
}
