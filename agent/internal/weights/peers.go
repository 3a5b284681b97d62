package weights

import (
	"cmp"
	"context"
	"slices"
	"time"

	"comfreyrelay.example/relay/burst"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/peer"
	"comfreyrelay.example/relay/wire"
)

// exchangeTimeout bounds one exchange of reports, whose messages are small.
const exchangeTimeout = 2 * time.Second

// peers returns the other agents known at present, sorted by id, and records their
// addresses.
func (m *Manager) peers() []burst.Peer {
	var peers []burst.Peer
	addresses := map[string]string{}
	for _, node := range m.cfg.Peers() {
		if node.GetId() != m.cfg.Self.GetId() {
			peers = append(peers, peerOf(node))
			addresses[node.GetId()] = node.GetControlAddress()
		}
	}
	slices.SortFunc(peers, func(left, right burst.Peer) int { return cmp.Compare(left.ID, right.ID) })
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peerAddresses = addresses
	return peers
}

// address returns a peer's control address from the list of peers, or else the one
// that the peer stated when it called; empty if unknown.
func (m *Manager) address(id string) string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if address := m.peerAddresses[id]; address != "" {
		return address
	}
	return m.callerAddresses[id]
}

// client returns a client for a peer's host service.
func (m *Manager) client(ctx context.Context, id string) (wire.DRPCHostClient, error) {
	address := m.address(id)
	if address == "" {
		return nil, failure.New(failure.NotFound, "the address of host "+id+" is unknown",
			"wait until the list of hosts contains it")
	}
	return wire.NewDRPCHostClient(m.cfg.Dial(ctx, address)), nil
}

// exchangeReports sends a report to a peer and passes the peer's own to the core.
func (t *transfer) exchangeReports(ctx context.Context, id string, report burst.Report) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := t.sendReport(ctx, id, report)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.core.Unreachable(t.now(), id)
	} else {
		t.core.Replied(t.now(), id, burst.Report{
			Held: reply.GetChunks(), Fetching: reply.GetFetching(),
			OriginFetched: reply.GetDrawn(), Queue: int(reply.GetUploadQueue()),
		})
	}
	signal(t.wake)
}

// sendReport calls a peer's Have with this host's report.
func (t *transfer) sendReport(ctx context.Context, id string, report burst.Report) (*wire.HaveReply, error) {
	client, err := t.mgr.client(ctx, id)
	if err != nil {
		return nil, err
	}
	return client.Have(ctx, &wire.HaveRequest{
		From: t.mgr.cfg.Self, Version: t.version,
		Chunks: report.Held, Fetching: report.Fetching,
		Drawn: report.OriginFetched, UploadQueue: uint32(report.Queue),
	})
}

// Have takes a peer's report of its chunks and replies with this host's. It implements
// wire.Host. A reply without bitmaps means that this host does not take part in the
// transfer of the version.
func (m *Manager) Have(ctx context.Context, req *wire.HaveRequest) (*wire.HaveReply, error) {
	from := req.GetFrom()
	if err := verifyCaller(ctx, from); err != nil {
		return nil, err
	}
	trans := m.transfer(req.GetVersion())
	if trans == nil {
		return &wire.HaveReply{}, nil
	}
	m.recordAddress(from)
	report, ok := trans.handleReport(from, req)
	if !ok {
		return &wire.HaveReply{}, nil
	}
	return &wire.HaveReply{
		Chunks: report.Held, Fetching: report.Fetching,
		Drawn: report.OriginFetched, UploadQueue: uint32(report.Queue),
	}, nil
}

// verifyCaller rejects a caller whose message names another host than its certificate.
func verifyCaller(ctx context.Context, from *wire.Node) error {
	if caller, known := peer.CallerOf(ctx); known && caller.Node() != from.GetId() {
		return failure.New(failure.Unauthorized, "the caller's certificate names another host",
			"give the agent the certificate of its own host")
	}
	return nil
}

// maxCallerAddresses bounds the addresses recorded from callers.
const maxCallerAddresses = 4096

// recordAddress records the control address that a caller stated, up to
// maxCallerAddresses callers.
func (m *Manager) recordAddress(from *wire.Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.callerAddresses[from.GetId()] == "" && len(m.callerAddresses) >= maxCallerAddresses {
		return
	}
	m.callerAddresses[from.GetId()] = from.GetControlAddress()
}

// handleReport passes a peer's report to the core and returns this host's; false while
// the manifest is unknown.
func (t *transfer) handleReport(from *wire.Node, req *wire.HaveRequest) (burst.Report, bool) {
	load := t.mgr.uploads.pending()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.core == nil {
		return burst.Report{}, false
	}
	t.core.SetUploads(load)
	t.core.Observe(t.now(), peerOf(from), burst.Report{
		Held: req.GetChunks(), Fetching: req.GetFetching(),
		OriginFetched: req.GetDrawn(), Queue: int(req.GetUploadQueue()),
	})
	signal(t.wake)
	return t.core.Report(), true
}

// report returns this host's report, which is sent along with requests and answers.
func (t *transfer) report() burst.Report {
	load := t.mgr.uploads.pending()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.SetUploads(load)
	return t.core.Report()
}
