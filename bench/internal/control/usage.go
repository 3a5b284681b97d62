package control

import (
	"context"
	"time"

	"comfreyrelay.example/bench/internal/deployment"
)

// cost is what a stretch of time cost, in sums over the nodes of a role.
type cost struct {
	length                     time.Duration
	reads, writes              float64 // of the key-value service, a second
	entryBytes, agentBytes     float64 // between processes, a second
	nodeIO                     float64 // all that the processes read and wrote, a second
	entryCPU, agentCPU         time.Duration
	largestEntry, largestAgent float64 // resident bytes of an entry, of an agent
}

// bytes returns the mean a node and second.
func (c cost) bytes(entries, agents int) float64 {
	return (c.entryBytes + c.agentBytes) / float64(entries+agents)
}

// sums are the figures at one moment.
type sums struct {
	at                     time.Time
	reads, writes          int
	entryBytes, agentBytes float64
	io                     uint64
	entryCPU, agentCPU     time.Duration
	entryMax, agentMax     uint64
}

func (r *run) sums(ctx context.Context) (sums, error) {
	ledger, err := r.deployment.KVLedger(ctx)
	if err != nil {
		return sums{}, err
	}
	out := sums{at: time.Now(), reads: ledger.Reads, writes: ledger.Writes}
	for _, m := range r.deployment.Entries() {
		if err := r.addUsage(ctx, m, usageOf{&out.entryBytes, &out.entryCPU, &out.entryMax, &out.io}); err != nil {
			return out, err
		}
	}
	for _, m := range r.deployment.Agents() {
		if err := r.addUsage(ctx, m, usageOf{&out.agentBytes, &out.agentCPU, &out.agentMax, &out.io}); err != nil {
			return out, err
		}
	}
	return out, nil
}

// usageOf points to the sums that a member of one role adds to.
type usageOf struct {
	bytes   *float64
	cpu     *time.Duration
	largest *uint64
	io      *uint64
}

func (r *run) addUsage(ctx context.Context, m *deployment.Member, sum usageOf) error {
	use, err := m.Process().Usage()
	if err != nil {
		return err
	}
	counters, err := r.deployment.Counters(ctx, m)
	if err != nil {
		return err
	}
	*sum.bytes += counters.ConnectionBytes
	*sum.cpu += use.CPU
	*sum.largest = max(*sum.largest, use.ResidentBytes)
	*sum.io += use.IOBytes
	return nil
}

// cost measures what happens while do runs.
func (r *run) cost(ctx context.Context, do func() error) (cost, error) {
	before, err := r.sums(ctx)
	if err != nil {
		return cost{}, err
	}
	if err := do(); err != nil {
		return cost{}, err
	}
	after, err := r.sums(ctx)
	if err != nil {
		return cost{}, err
	}
	length := after.at.Sub(before.at)
	return cost{
		length:       length,
		reads:        float64(after.reads-before.reads) / length.Seconds(),
		writes:       float64(after.writes-before.writes) / length.Seconds(),
		entryBytes:   (after.entryBytes - before.entryBytes) / length.Seconds(),
		agentBytes:   (after.agentBytes - before.agentBytes) / length.Seconds(),
		nodeIO:       float64(after.io-before.io) / length.Seconds(),
		entryCPU:     after.entryCPU - before.entryCPU,
		agentCPU:     after.agentCPU - before.agentCPU,
		largestEntry: float64(after.entryMax),
		largestAgent: float64(after.agentMax),
	}, nil
}

func (r *Result) addCost(busy cost, agents int) {
	const mebibyte = 1 << 20
	percent := func(cpu time.Duration, nodes int) float64 {
		return 100 * cpu.Seconds() / busy.length.Seconds() / float64(nodes)
	}
	r.KVReadsPerSecond, r.KVWritesPerSecond = busy.reads, busy.writes
	r.ControlBytesPerNodePerSecond = busy.bytes(entryCount, agents)
	r.ControlBytesPerEntryPerSecond = busy.entryBytes / entryCount
	r.ControlBytesPerAgentPerSecond = busy.agentBytes / float64(agents)
	r.IOBytesPerNodePerSecond = busy.nodeIO / float64(entryCount+agents)
	r.ControlCPUPercentPerNode = percent(busy.entryCPU+busy.agentCPU, entryCount+agents)
	r.ControlCPUPercentPerEntry = percent(busy.entryCPU, entryCount)
	r.ControlCPUPercentPerAgent = percent(busy.agentCPU, agents)
	r.ResidentMib = max(busy.largestEntry, busy.largestAgent) / mebibyte
	r.ResidentMibAgent = busy.largestAgent / mebibyte
}
