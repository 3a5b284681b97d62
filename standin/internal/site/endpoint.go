package site

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"comfreyrelay.example/platform/platformtest"
)

// ttlHeartbeats is the TTL of a registration, in heartbeat intervals.
const ttlHeartbeats = 3

// setupEndpoint sets up a simulated endpoint that registers itself in the store.
func (p *part) setupEndpoint(ctx context.Context) {
	options := p.options.Endpoint
	if options.Engine != nil && options.Version > 0 {
		options.Chunks = platformtest.Chunks(options.Version, p.options.Chunks, p.options.ChunkBytes)
	}
	worker := platformtest.NewEndpoint(options, ctx.Done())
	worker.SetLoadTime(time.Duration(p.options.WarmMillis) * time.Millisecond)
	reg := &registration{part: p, worker: worker, heartbeat: time.Duration(p.options.HeartbeatMillis) * time.Millisecond}
	p.handler, p.extra = worker, platformtest.NewExtraAnswers(options.Seed)
	p.faults = func(f platformtest.PartFaults) {
		worker.SetFaults(f.Broken, f.Slow)
		worker.SetShed(f.Shed, f.ShedUnnamed)
		worker.SetMisleading(f.MisleadingShare, f.Misleading)
		p.extra.Set(f.ExtraShare, f.Extra)
		reg.former.Store(f.Former)
		if f.Spoil {
			worker.CorruptChunk()
		}
	}
	p.control.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) {
		connections, refused := p.lis.Counts()
		writeJSON(w, platformtest.Record{Runs: worker.Runs(), Loads: worker.Loads(), Connections: connections, Refused: refused, Extra: p.extra.Sent(), Dialled: p.lis.Dialled()})
	})
	p.control.HandleFunc("POST /leave", func(http.ResponseWriter, *http.Request) { reg.leaving.Store(true) })
	p.control.HandleFunc("POST /deregister", func(_ http.ResponseWriter, r *http.Request) { reg.end(r.Context()) })
	p.run = func(ctx context.Context) error {
		reg.run(ctx)
		return nil
	}
}

// registration keeps an endpoint registered in the store.
type registration struct {
	part      *part
	worker    *platformtest.Endpoint
	heartbeat time.Duration
	leaving   atomic.Bool
	former    atomic.Bool // it is also registered under a former ID

	mu    sync.Mutex
	ended bool // removed for good
}

// run renews the registration until ctx is done. An endpoint that leaves is registered as draining and
// deregisters after LeaveMillis.
func (g *registration) run(ctx context.Context) {
	var leavingSince time.Time
	for ctx.Err() == nil {
		draining := g.leaving.Load()
		if draining && leavingSince.IsZero() {
			leavingSince = time.Now()
		}
		if draining && time.Since(leavingSince) > time.Duration(g.part.options.LeaveMillis)*time.Millisecond {
			g.end(ctx)
		}
		g.renew(ctx, draining)
		wait := time.NewTimer(min(g.heartbeat, registrationPollInterval))
		select {
		case <-ctx.Done():
		case <-wait.C:
		}
	}
}

// renew writes the registration unless it ended.
func (g *registration) renew(ctx context.Context, draining bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended {
		return
	}
	value, id := g.worker.Registration(g.part.options.Address, draining), g.part.options.Endpoint.ID
	g.part.sendRegistration(ctx, id, value, g.heartbeat)
	if g.former.Load() {
		g.part.sendRegistration(ctx, id+"-former", value, g.heartbeat)
	}
}

// end removes the registration. The endpoint goes on serving.
func (g *registration) end(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	g.part.sendRegistration(ctx, g.part.options.Endpoint.ID, nil, g.heartbeat)
}

// registrationPollInterval is the longest time between registrations, so that a change of
// the engine's weights is published soon.
const registrationPollInterval = 300 * time.Millisecond

// sendRegistration writes the registration under an ID to the store, or deletes it if it is nil.
func (p *part) sendRegistration(ctx context.Context, id string, registration map[string]any, heartbeat time.Duration) {
	key := "servers/" + id
	method, query := http.MethodPut, url.Values{"key": {key}, "ttl": {(ttlHeartbeats * heartbeat).String()}}
	if registration == nil {
		method = http.MethodDelete
	}
	body, err := json.Marshal(registration)
	if err != nil {
		panic(err) // a registration holds only plain values
	}
	callCtx, cancel := context.WithTimeout(ctx, heartbeat)
	defer cancel()
	req, err := http.NewRequestWithContext(callCtx, method, fmt.Sprintf("http://%s/key?%s", p.options.StoreControl, query.Encode()), bytes.NewReader(body))
	if err != nil {
		panic(err) // the address is checked when the store starts
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// setupOrigin sets up the origin server of the weights.
func (p *part) setupOrigin() {
	origin := platformtest.NewOrigin(p.options.Model)
	for version := range p.options.Versions {
		number := uint64(version + 1)
		origin.Add(number, platformtest.Chunks(number, p.options.Chunks, p.options.ChunkBytes))
	}
	p.handler = origin
	p.faults = func(f platformtest.PartFaults) {
		origin.CorruptManifests(f.Manifests)
		origin.RefuseChunks(f.Refuse)
	}
	p.control.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) {
		connections, refused := p.lis.Counts()
		writeJSON(w, platformtest.Record{Connections: connections, Refused: refused, Sent: origin.Sent()})
	})
}
