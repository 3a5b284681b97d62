package audit

import (
	"context"
	"os"
	"time"

	"comfreyrelay.example/bench/internal/deployment"
)

// Ledgers holds the combined records of all back ends in a deployment.
type Ledgers struct {
	Runs *Runs
	// The following are totals over all engines. OldObeyed counts orders that
	// an engine executed despite an outdated fencing number, NotWhole counts
	// loads that were ordered while a chunk was missing.
	CacheHits, CacheMisses     int
	Loads, OldObeyed, NotWhole int
	// Lost counts back ends whose record could not be read, for example because
	// the back end died.
	Lost int
}

// CacheHitRatio returns the fraction of prompts whose prefix was cached, or 0
// if there were none.
func (l Ledgers) CacheHitRatio() float64 {
	if l.CacheHits+l.CacheMisses == 0 {
		return 0
	}
	return float64(l.CacheHits) / float64(l.CacheHits+l.CacheMisses)
}

// Collect reads the records of all engines and plain services in the deployment.
func Collect(ctx context.Context, d *deployment.Deployment) Ledgers {
	ledgers := Ledgers{Runs: NewRuns()}
	for _, member := range d.Agents() {
		ledger, err := d.EngineLedger(ctx, member)
		if err != nil {
			ledgers.Lost++
			continue
		}
		ledgers.Runs.AddEngine(member.ID(), ledger)
		ledgers.CacheHits += ledger.Totals.CacheHits
		ledgers.CacheMisses += ledger.Totals.CacheMiss
		ledgers.Loads += ledger.Orders.Loads
		ledgers.OldObeyed += ledger.Orders.OldObeyed
		ledgers.NotWhole += ledger.Orders.NotWhole
	}
	for _, member := range d.Services() {
		ledger, err := d.ServiceLedger(ctx, member)
		if err != nil {
			ledgers.Lost++
			continue
		}
		ledgers.Runs.AddService(ledger)
	}
	return ledgers
}

// CompareFile calls Compare with the record file of load. It excuses responses
// truncated by the entries killed in the deployment or after the deadline.
func CompareFile(load *deployment.Load, runs *Runs, d *deployment.Deployment, deadline time.Duration) (Findings, error) {
	file, err := os.Open(load.Record())
	if err != nil {
		return Findings{}, err
	}
	defer file.Close()
	excuses := Excuses{Deadline: deadline}
	for _, death := range d.Deaths() {
		excuses.Deaths = append(excuses.Deaths, Death{Address: death.Member.CallersAddress(), At: death.At})
	}
	return Compare(file, runs, excuses)
}
