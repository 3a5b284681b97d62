package control

import (
	"context"
	"time"

	"comfreyrelay.example/bench/internal/deployment"
)

// usageRates is the resource usage during an interval, summed over the nodes of a
// role.
type usageRates struct {
	length                     time.Duration
	reads, writes              float64 // calls of the key-value service per second
	entryBytes, agentBytes     float64 // on connections between processes, per second
	nodeIO                     float64 // bytes that the processes read and wrote, per second
	entryCPU, agentCPU         time.Duration
	largestEntry, largestAgent float64 // resident bytes of an entry, of an agent
}

// bytes returns the mean number of connection bytes per node and second.
func (c usageRates) bytes(entries, agents int) float64 {
	return (c.entryBytes + c.agentBytes) / float64(entries+agents)
}

// totals are the cumulative counters at one moment.
type totals struct {
	at                     time.Time
	reads, writes          int
	entryBytes, agentBytes float64
	io                     uint64
	entryCPU, agentCPU     time.Duration
	entryMax, agentMax     uint64
}

// readTotals reads the counters of the key-value service and of every process.
func (r *run) readTotals(ctx context.Context) (totals, error) {
	ledger, err := r.deployment.KVLedger(ctx)
	if err != nil {
		return totals{}, err
	}
	out := totals{at: time.Now(), reads: ledger.Reads, writes: ledger.Writes}
	for _, m := range r.deployment.Entries() {
		if err := r.addUsage(ctx, m, roleTotals{&out.entryBytes, &out.entryCPU, &out.entryMax, &out.io}); err != nil {
			return out, err
		}
	}
	for _, m := range r.deployment.Agents() {
		if err := r.addUsage(ctx, m, roleTotals{&out.agentBytes, &out.agentCPU, &out.agentMax, &out.io}); err != nil {
			return out, err
		}
	}
	return out, nil
}

// roleTotals points to the totals to which members of one role add.
type roleTotals struct {
	bytes   *float64
	cpu     *time.Duration
	largest *uint64
	io      *uint64
}

func (r *run) addUsage(ctx context.Context, m *deployment.Member, sum roleTotals) error {
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

// measureUsage returns the resource usage while do runs.
func (r *run) measureUsage(ctx context.Context, do func() error) (usageRates, error) {
	before, err := r.readTotals(ctx)
	if err != nil {
		return usageRates{}, err
	}
	if err := do(); err != nil {
		return usageRates{}, err
	}
	after, err := r.readTotals(ctx)
	if err != nil {
		return usageRates{}, err
	}
	length := after.at.Sub(before.at)
	return usageRates{
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

// addUsage sets the usage that was measured while documents changed.
func (r *Result) addUsage(changing usageRates, agents int) {
	const mebibyte = 1 << 20
	percent := func(cpu time.Duration, nodes int) float64 {
		return 100 * cpu.Seconds() / changing.length.Seconds() / float64(nodes)
	}
	r.KVReadsPerSecond, r.KVWritesPerSecond = changing.reads, changing.writes
	r.ControlBytesPerNodePerSecond = changing.bytes(entryCount, agents)
	r.ControlBytesPerEntryPerSecond = changing.entryBytes / entryCount
	r.ControlBytesPerAgentPerSecond = changing.agentBytes / float64(agents)
	r.IOBytesPerNodePerSecond = changing.nodeIO / float64(entryCount+agents)
	r.ControlCPUPercentPerNode = percent(changing.entryCPU+changing.agentCPU, entryCount+agents)
	r.ControlCPUPercentPerEntry = percent(changing.entryCPU, entryCount)
	r.ControlCPUPercentPerAgent = percent(changing.agentCPU, agents)
	r.ResidentMib = max(changing.largestEntry, changing.largestAgent) / mebibyte
	r.ResidentMibAgent = changing.largestAgent / mebibyte
}
