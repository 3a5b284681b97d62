package deployment

import (
	"context"
	"net/http"
)

// EngineFaults are the fault switches of an engine stand-in.
// Each call sets all of them.
type EngineFaults struct {
	SlowFactor      float64 `json:"slowFactor"`
	FailFast        bool    `json:"failFast"`
	ErrorAfterBegin bool    `json:"errorAfterBegin"`
	Stall           bool    `json:"stall"`
	RefuseLoad      bool    `json:"refuseLoad"`
	DropLoad        bool    `json:"dropLoad"`
	DieAfterTokens  int     `json:"dieAfterTokens"`
	ReportIdle      bool    `json:"reportIdle"`
	Dead            bool    `json:"dead"`
}

// ServiceFaults are the fault switches of a plain service.
// Each call sets all of them.
type ServiceFaults struct {
	FailBeforeRun float64 `json:"failBeforeRun"`
	LoseReply     float64 `json:"loseReply"`
	Stall         bool    `json:"stall"`
	SlowFactor    float64 `json:"slowFactor"`
	Dead          bool    `json:"dead"`
}

// KVFaults are the fault switches of the key-value service.
type KVFaults struct {
	Down         bool    `json:"down"`
	DelayMillis  int     `json:"delayMillis"`
	LoseReplies  float64 `json:"loseReplies"`
	LoseRequests float64 `json:"loseRequests"`
	WatchSilent  bool    `json:"watchSilent"`
	Compact      bool    `json:"compact"`
	DropWatch    bool    `json:"dropWatch"`
}

// OriginFaults are the fault switches of the origin.
type OriginFaults struct {
	Down            bool    `json:"down"`
	DelayMillis     int     `json:"delayMillis"`
	CorruptFraction float64 `json:"corruptFraction"`
	CorruptManifest bool    `json:"corruptManifest"`
	Stall           bool    `json:"stall"`
	Refuse          bool    `json:"refuse"`
	BytesPerSecond  float64 `json:"bytesPerSecond"`
}

// HostListFaults are the fault switches of the host list.
type HostListFaults struct {
	Empty       bool     `json:"empty"`
	Wrong       []string `json:"wrong"`
	Down        bool     `json:"down"`
	LagMillis   int      `json:"lagMillis"`
	DelayMillis int      `json:"delayMillis"`
}

// SetEngineFaults sets the faults of the member's engine.
func (d *Deployment) SetEngineFaults(ctx context.Context, m *Member, faults EngineFaults) error {
	return d.call(ctx, http.MethodPost, m.endpointURL+"/faults", faults, nil)
}

// SetServiceFaults sets the faults of the member's plain service.
func (d *Deployment) SetServiceFaults(ctx context.Context, m *Member, faults ServiceFaults) error {
	return d.call(ctx, http.MethodPost, m.endpointURL+"/faults", faults, nil)
}

// SetKVFaults sets the faults of the key-value service.
func (d *Deployment) SetKVFaults(ctx context.Context, faults KVFaults) error {
	return d.call(ctx, http.MethodPost, d.kvURL+"/faults", faults, nil)
}

// SetOriginFaults sets the faults of the origin.
func (d *Deployment) SetOriginFaults(ctx context.Context, faults OriginFaults) error {
	return d.call(ctx, http.MethodPost, d.originURL+"/faults", faults, nil)
}

// SetHostListFaults sets the faults of the host list.
func (d *Deployment) SetHostListFaults(ctx context.Context, faults HostListFaults) error {
	return d.call(ctx, http.MethodPost, d.hostsURL+"/faults", faults, nil)
}
