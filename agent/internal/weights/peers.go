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

// exchangeTimeout bounds one swap of reports; its messages are small.
const exchangeTimeout = 2 * time.Second

// peers returns the other agents known now, in the order of their ids, and
// notes where they listen.
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

// address returns where a peer listens: the list of peers knows, or else the
// peer stated when it called.
func (m *Manager) address(id string) string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if address := m.peerAddresses[id]; address != "" {
		return address
	}
	return m.callerAddresses[id]
}

func (m *Manager) client(ctx context.Context, id string) (wire.DRPCHostClient, error) {
	address := m.address(id)
	if address == "" {
		return nil, failure.New(failure.NotFound, "the address of host "+id+" is unknown",
			"wait until the list of hosts names it")
	}
	return wire.NewDRPCHostClient(m.cfg.Dial(ctx, address)), nil
}

// exchange swaps reports with a peer.
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
			Drawn: reply.GetDrawn(), Queue: int(reply.GetUploadQueue()),
		})
	}
	signal(t.wake)
}

func (t *transfer) sendReport(ctx context.Context, id string, report burst.Report) (*wire.HaveReply, error) {
	client, err := t.mgr.client(ctx, id)
	if err != nil {
		return nil, err
	}
	return client.Have(ctx, &wire.HaveRequest{
		From: t.mgr.cfg.Self, Version: t.version,
		Chunks: report.Held, Fetching: report.Fetching,
		Drawn: report.Drawn, UploadQueue: uint32(report.Queue),
	})
}

// Have swaps knowledge of held chunks with a peer: wire.Host's Have. A reply
// without bitmaps says that this host takes no part in the version.
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
		Drawn: report.Drawn, UploadQueue: uint32(report.Queue),
	}, nil
}

// checkCaller refuses a caller that names a host other than its certificate's.
func verifyCaller(ctx context.Context, from *wire.Node) error {
	if caller, known := peer.CallerOf(ctx); known && caller.Node() != from.GetId() {
		return failure.New(failure.Unauthorized, "the caller's certificate names another host",
			"give the agent the certificate of its own host")
	}
	return nil
}

// maxAddresses bounds the callers remembered beside the list of peers.
const maxCallerAddresses = 4096

func (m *Manager) recordAddress(from *wire.Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.callerAddresses[from.GetId()] == "" && len(m.callerAddresses) >= maxCallerAddresses {
		return
	}
	m.callerAddresses[from.GetId()] = from.GetControlAddress()
}

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
		Drawn: req.GetDrawn(), Queue: int(req.GetUploadQueue()),
	})
	signal(t.wake)
	return t.core.Report(), true
}

// report returns what to send a peer along with a request or an answer.
func (t *transfer) report() burst.Report {
	load := t.mgr.uploads.pending()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.SetUploads(load)
	return t.core.Report()
}
