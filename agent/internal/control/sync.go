package control

import (
	"context"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/membership"
	"comfreyrelay.example/relay/spread"
	"comfreyrelay.example/relay/wire"
)

// sync makes one Sync call and applies its reply. A call interrupted by Nudge
// doesn't count as a failure of the entry.
func (c *Client) sync(ctx context.Context, entry *wire.Node, wait time.Duration) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wait = c.allowInterrupt(cancel, wait)
	defer c.clearInterrupt()
	call, stop := clockwork.WithTimeout(ctx, c.cfg.Clock, wait+syncMargin)
	defer stop()
	request := c.request(entry.GetId(), wait)
	client := wire.NewDRPCControlClient(c.cfg.Dial(call, entry.GetControlAddress()))
	reply, err := client.Sync(call, request)
	if err == nil {
		c.clearInterrupt()
		err = c.applyReply(call, entry, request, reply)
	}
	if err == nil || ctx.Err() != nil {
		return nil
	}
	c.recordFailure(entry, err)
	return err
}

// allowInterrupt lets Nudge cancel the call and returns how long the entry may
// hold it: zero if Nudge was called before.
func (c *Client) allowInterrupt(cancel context.CancelFunc, wait time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nudged || wait == 0 {
		c.nudged = false
		return 0
	}
	c.interrupt = cancel
	return wait
}

// clearInterrupt stops Nudge from canceling the call.
func (c *Client) clearInterrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupt = nil
}

// request builds the Sync request for an entry. It sends the report as a
// difference from the last one that the entry accepted, where possible.
func (c *Client) request(entry string, wait time.Duration) *wire.SyncRequest {
	report := c.cfg.Report()
	c.mu.Lock()
	known := c.known[entry]
	if c.baseOf != entry {
		c.baseline, c.baseOf, c.wanted = spread.Baseline{}, entry, nil
	}
	from := c.cfg.Self
	if !c.baseline.NeedsFullReport() {
		from = membership.NameOnly(from)
	}
	report = c.baseline.Next(report, c.cfg.Clock.Now())
	wanted := c.wanted
	c.wanted = nil
	c.mu.Unlock()
	request := &wire.SyncRequest{
		From:        from,
		Known:       c.Known(),
		WaitMillis:  uint32(wait.Milliseconds()),
		Hosts:       []*wire.HostReport{report},
		DeltaRoots:  true,
		WholeWanted: wanted,
	}
	request.Root, request.Parts = c.knowledge.offer(known)
	return request
}

// recordFailure counts and logs a failed call and penalizes the entry.
func (c *Client) recordFailure(entry *wire.Node, err error) {
	c.cfg.Counters.Add("syncsFailed", 1)
	c.cfg.Log.Debug("sync with entry failed", "entry", entry.GetId(), "error", err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.penalties.add(entry.GetId(), c.cfg.Clock.Now())
}

// applyReply applies a reply to the local state and publishes it.
func (c *Client) applyReply(ctx context.Context, entry *wire.Node, request *wire.SyncRequest, reply *wire.SyncReply) error {
	now := c.cfg.Clock.Now()
	c.cfg.Counters.Add("syncs", 1)
	c.recordAccepted(entry.GetId(), request, reply)
	c.knowledge.observeMembers(reply, now)
	ignored, err := c.knowledge.adopt(ctx, reply, now, func(ctx context.Context, hashes []string) ([][]byte, error) {
		return c.requestParts(ctx, entry, hashes)
	})
	c.cfg.Counters.Add("olderIgnored", int64(ignored))
	c.mu.Lock()
	c.known[entry.GetId()] = reply.GetKnown()
	c.home = entry.GetId()
	c.penalties.clear(entry.GetId())
	c.mu.Unlock()
	c.publish()
	if err == nil || ctx.Err() != nil {
		return err
	}
	c.cfg.Log.Warn("document not applied", "entry", entry.GetId(), "revision", reply.GetRoot().GetRevision(), "error", err)
	if failure.KindOf(err) == failure.Internal {
		c.cfg.Broken("oneContentPerRevision", "entry", entry.GetId(), "revision", reply.GetRoot().GetRevision())
	}
	return err
}

// recordAccepted records whether the entry accepted the report, and removes from
// the reply the reports that can't be expanded to full ones.
func (c *Client) recordAccepted(entry string, request *wire.SyncRequest, reply *wire.SyncReply) {
	sent := request.GetHosts()[0]
	lacking := c.knowledge.expandReports(reply)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.baseOf != entry {
		return
	}
	c.wanted = lacking
	if slices.Contains(reply.GetWholeWanted(), c.cfg.Self.GetId()) {
		c.baseline.Reset()
		return
	}
	c.baseline.RecordAcknowledged(sent, c.cfg.Clock.Now())
	c.acked.Store(max(c.acked.Load(), sent.GetSequence()))
}

// expandReports expands the reply's delta reports to full ones. It removes those
// whose base report was lost in transit and returns the ids of their hosts and
// entries.
func (k *knowledge) expandReports(reply *wire.SyncReply) (lacking []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	whole := make([]*wire.HostReport, 0, len(reply.GetHosts()))
	for _, report := range reply.GetHosts() {
		if completed, ok := k.table.Complete(report); ok {
			whole = append(whole, completed)
			continue
		}
		lacking = append(lacking, report.GetNode().GetId())
	}
	reply.Hosts = whole
	described := make([]*wire.EntryReport, 0, len(reply.GetEntries()))
	for _, report := range reply.GetEntries() {
		if completed, ok := k.table.CompleteEntry(report); ok {
			described = append(described, completed)
			continue
		}
		lacking = append(lacking, report.GetNode().GetId())
	}
	reply.Entries = described
	return lacking
}

// requestParts requests the contents of document parts from an entry.
func (c *Client) requestParts(ctx context.Context, entry *wire.Node, hashes []string) ([][]byte, error) {
	client := wire.NewDRPCControlClient(c.cfg.Dial(ctx, entry.GetControlAddress()))
	reply, err := client.Parts(ctx, &wire.PartsRequest{From: membership.NameOnly(c.cfg.Self), Known: c.Known(), Hashes: hashes})
	if err != nil {
		return nil, err
	}
	return reply.GetParts(), nil
}
