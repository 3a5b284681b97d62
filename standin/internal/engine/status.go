package engine

import "time"

// Status is the state that an engine reports. The loaded versions are current; the
// running and queued counts are delayed by Options.StatusLag.
type Status struct {
	Model           string        `json:"model"`
	Version         string        `json:"version"`
	Adapters        []AdapterName `json:"adapters"`
	Fence           uint64        `json:"fence"`
	Role            string        `json:"role"`
	Running         int           `json:"running"`
	Queued          int           `json:"queued"`
	Slots           int           `json:"slots"`
	TokensPerSecond float64       `json:"tokensPerSecond"`
}

// AdapterName identifies a loaded adapter.
type AdapterName struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// Status returns the state that the engine reports.
func (e *Engine) Status() Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	seen := e.load.at(now)
	status := Status{
		Adapters:        []AdapterName{},
		Fence:           e.fence,
		Role:            e.role,
		Running:         seen.running,
		Queued:          seen.queued,
		Slots:           e.options.Slots,
		TokensPerSecond: e.speed.perSecond(now),
	}
	if e.faults.ReportIdle {
		status.Running, status.Queued = 0, 0
	}
	if e.loaded == nil {
		return status
	}
	status.Model, status.Version = e.loaded.model, e.loaded.version
	for _, adapter := range e.loaded.adapters {
		status.Adapters = append(status.Adapters, AdapterName{Name: adapter.name, Version: adapter.version})
	}
	return status
}

// samplesPerLag is the number of load samples kept per lag period.
const samplesPerLag = 16

// loadHistory keeps past load samples, so that the load is reported with a delay.
type loadHistory struct {
	lag     time.Duration
	samples []loadSample // oldest first, about samplesPerLag of them
}

type loadSample struct {
	at              time.Time
	running, queued int
}

// record stores the load that applies from now on.
func (h *loadHistory) record(now time.Time, running, queued int) {
	sample := loadSample{at: now, running: running, queued: queued}
	last := len(h.samples) - 1
	if last >= 0 && now.Sub(h.samples[last].at) < h.lag/samplesPerLag {
		sample.at = h.samples[last].at
		h.samples[last] = sample
		return
	}
	h.samples = append(h.samples, sample)
	h.forget(now)
}

// forget drops samples that are superseded by one at least a lag old.
func (h *loadHistory) forget(now time.Time) {
	for len(h.samples) > 1 && now.Sub(h.samples[1].at) >= h.lag {
		h.samples = h.samples[1:]
	}
}

// at returns the load one lag before now.
func (h *loadHistory) at(now time.Time) loadSample {
	h.forget(now)
	if len(h.samples) == 0 || now.Sub(h.samples[0].at) < h.lag {
		return loadSample{}
	}
	return h.samples[0]
}

// tokenRate counts tokens per whole second.
type tokenRate struct {
	second  int64
	current int
	last    int
}

func (s *tokenRate) add(now time.Time) {
	s.advance(now)
	s.current++
}

// perSecond returns the token count of the last complete second.
func (s *tokenRate) perSecond(now time.Time) float64 {
	s.advance(now)
	return float64(s.last)
}

// advance starts a new count if a new second has begun.
func (s *tokenRate) advance(now time.Time) {
	second := now.Unix()
	if second == s.second {
		return
	}
	s.last = 0
	if second == s.second+1 {
		s.last = s.current
	}
	s.second, s.current = second, 0
}
