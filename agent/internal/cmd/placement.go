package cmd

import (
	"expvar"
	"log/slog"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/fallback"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// outagePlacement assigns a vacant replica to this host during an outage; see
// package fallback. It is not safe for concurrent use: only orders.Runner calls
// it.
type outagePlacement struct {
	core     *fallback.Decider
	clock    clockwork.Clock
	log      *slog.Logger
	counters *expvar.Map
}

// place returns what the host should serve although the plan doesn't assign
// anything to it.
func (p *outagePlacement) place(snap *view.Snapshot, own *wire.HostReport) *wire.Assignment {
	before := p.core.TakenModel()
	given := p.core.Decide(fallback.Input{
		Now:         p.clock.Now(),
		Document:    snap.Document,
		Plan:        snap.Plan,
		ConfirmedAt: snap.ConfirmedAt,
		Hosts:       snap.Hosts,
		Own:         own,
	})
	if after := p.core.TakenModel(); after != before {
		p.logHeld(before, after, snap)
	}
	return given
}

func (p *outagePlacement) logHeld(before, after string, snap *view.Snapshot) {
	if after == "" {
		p.counters.Add("placesEnded", 1)
		p.log.Info("ends the place that it took in the outage", "model", before, "plan", snap.PlanRevision)
		return
	}
	p.counters.Add("placesTaken", 1)
	p.log.Warn("takes an empty place while nobody can plan", "model", after, "plan", snap.PlanRevision,
		"confirmedAt", snap.ConfirmedAt)
}
