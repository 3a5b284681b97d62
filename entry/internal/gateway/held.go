package gateway

import (
	"comfreyrelay.example/relay/quarantine"
)

// held refuses a request under which endpoints ended again and again, wherever it came before:
// each further one that runs it ends too, with all that others have in progress there. It is
// asked before each send and while the request waits, since others may learn it meanwhile.
func (x *exchange) held() *refusal {
	g := x.gateway
	ends := g.cfg.State.Ledger()
	until, held := ends.Held(x.print)
	if !held {
		return nil
	}
	g.figures.held.Add(1)
	for _, report := range ends.Renew(x.print) {
		ends.Hear(report)
		g.cfg.Tell(report)
	}
	return x.notServed("endpoints ended under this request", until.Sub(g.cfg.Clock.Now()))
}

// acquit notes that a request was run to a good end: it ends no endpoint by itself, and was
// only in progress where some did. Others hear of it where one more end would have held it.
func (x *exchange) acquit() {
	g := x.gateway
	if !g.cfg.State.Ledger().Served(x.print) {
		return
	}
	g.cfg.Tell(quarantine.Report{Served: []quarantine.Fingerprint{x.print}})
	g.cfg.Log.Info("acquitted", "request", x.req.ID, "print", x.print)
}
