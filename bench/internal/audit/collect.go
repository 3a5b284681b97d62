package audit

import (
	"context"
	"os"
	"time"

	"comfreyrelay.example/bench/internal/deployment"
)

// Ledgers are the back ends' records of one deployment.
type Ledgers struct {
	Runs *Runs
	// CacheHits and CacheMisses sum over all engines, as do Loads, OldObeyed
	// (orders with an old fencing number that an engine obeyed) and NotWhole
	// (loads ordered with a chunk missing).
	CacheHits, CacheMisses     int
	Loads, OldObeyed, NotWhole int
	// Lost counts back ends whose record died with them.
	Lost int
}

// CacheHitRatio returns the part of the prompts whose prefix was cached.
func (l Ledgers) CacheHitRatio() float64 {
	if l.CacheHits+l.CacheMisses == 0 {
		return 0
	}
	return float64(l.CacheHits) / float64(l.CacheHits+l.CacheMisses)
}

// Collect reads the records of every engine and plain service of the deployment.
func Collect(ctx context.Context, h *deployment.Deployment) Ledgers {
	out := Ledgers{Runs: NewRuns()}
	for _, m := range h.Agents() {
		ledger, err := h.EngineLedger(ctx, m)
		if err != nil {
			out.Lost++
			continue
		}
		out.Runs.AddEngine(m.ID(), ledger)
		out.CacheHits += ledger.Totals.CacheHits
		out.CacheMisses += ledger.Totals.CacheMiss
		out.Loads += ledger.Orders.Loads
		out.OldObeyed += ledger.Orders.OldObeyed
		out.NotWhole += ledger.Orders.NotWhole
	}
	for _, m := range h.Services() {
		ledger, err := h.ServiceLedger(ctx, m)
		if err != nil {
			out.Lost++
			continue
		}
		out.Runs.AddService(ledger)
	}
	return out
}

// CompareFile is Compare on the record of the deployment's callers, whose requests
// had the deadline.
func CompareFile(load *deployment.Load, runs *Runs, h *deployment.Deployment, deadline time.Duration) (Findings, error) {
	file, err := os.Open(load.Record())
	if err != nil {
		return Findings{}, err
	}
	defer file.Close()
	excuses := Excuses{Deadline: deadline}
	for _, death := range h.Deaths() {
		excuses.Deaths = append(excuses.Deaths, Death{Address: death.Member.CallersAddress(), At: death.At})
	}
	return Compare(file, runs, excuses)
}
