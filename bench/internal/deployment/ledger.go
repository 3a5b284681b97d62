package deployment

import (
	"context"
	"net/http"
	"time"
)

// Account counts the runs of one request id on one engine, by outcome.
type Account struct {
	Begun     int    `json:"begun"`
	Completed int    `json:"completed"`
	CutOff    int    `json:"cutOff"`
	Cancelled int    `json:"cancelled"`
	Broken    int    `json:"broken"`
	Version   string `json:"version"`
	// Content identifies the content of the request; equal requests have equal
	// values.
	Content string `json:"content"`
}

// Violation is an event that an engine observed and that must never happen.
type Violation struct {
	Kind      string `json:"kind"`
	RequestID string `json:"requestId"`
	Detail    string `json:"detail"`
}

// EngineLedger is the record that one engine keeps of its requests and orders.
type EngineLedger struct {
	Totals struct {
		Begun     int `json:"begun"`
		Completed int `json:"completed"`
		CutOff    int `json:"cutOff"`
		Cancelled int `json:"cancelled"`
		Broken    int `json:"broken"`
		Refused   int `json:"refused"`
		Tokens    int `json:"tokens"`
		CacheHits int `json:"cacheHits"`
		CacheMiss int `json:"cacheMisses"`
	} `json:"totals"`
	Orders struct {
		Obeyed     int `json:"obeyed"`
		OldRefused int `json:"oldRefused"`
		OldObeyed  int `json:"oldObeyed"`
		NotWhole   int `json:"notWhole"`
		Loads      int `json:"loads"`
	} `json:"orders"`
	Violations     []Violation        `json:"violations"`
	ViolationCount int                `json:"violationCount"`
	Forgotten      int                `json:"forgotten"`
	RunsByID       map[string]Account `json:"runsById"`
}

// ServiceLedger is the record that one plain service keeps of its requests.
type ServiceLedger struct {
	Runs        int            `json:"runs"`
	Refused     int            `json:"refused"`
	LostReplies int            `json:"lostReplies"`
	MaxRuns     int            `json:"maxRuns"`
	Forgotten   int            `json:"forgotten"`
	RunsByID    map[string]int `json:"runsById"`
	// Contents identifies the content of the request, by request id.
	Contents map[string]string `json:"contents"`
}

// OriginLedger is the record of what the origin sent.
type OriginLedger struct {
	Bytes    int64 `json:"bytes"`
	Versions []struct {
		Version string  `json:"version"`
		Bytes   int64   `json:"bytes"`
		Size    uint64  `json:"size"`
		Copies  float64 `json:"copies"`
	} `json:"versions"`
	Requests  int64 `json:"requests"`
	Refused   int64 `json:"refused"`
	Corrupted int64 `json:"corrupted"`
	CutOff    int64 `json:"cutOff"`
}

// Copies returns the number of copies of the version that the origin sent.
func (l OriginLedger) Copies(version string) float64 {
	for _, line := range l.Versions {
		if line.Version == version {
			return line.Copies
		}
	}
	return 0
}

// KVLedger is the record of the calls to the key-value service.
type KVLedger struct {
	Lines []struct {
		Kind    string `json:"kind"`
		Prefix  string `json:"prefix"`
		Caller  string `json:"caller"`
		Calls   int    `json:"calls"`
		Refused int    `json:"refused"`
	} `json:"lines"`
	Reads               int `json:"reads"`
	Writes              int `json:"writes"`
	PeakReadsPerSecond  int `json:"peakReadsPerSecond"`
	PeakWritesPerSecond int `json:"peakWritesPerSecond"`
	Seconds             []struct {
		At     time.Time `json:"at"`
		Reads  int       `json:"reads"`
		Writes int       `json:"writes"`
	} `json:"seconds"`
	Revision uint64 `json:"revision"`
}

// EngineLedger reads the record of the member's engine.
func (d *Deployment) EngineLedger(ctx context.Context, m *Member) (ledger EngineLedger, err error) {
	err = d.call(ctx, http.MethodGet, m.endpointURL+"/ledger", nil, &ledger)
	return ledger, err
}

// ServiceLedger reads the record of the member's plain service.
func (d *Deployment) ServiceLedger(ctx context.Context, m *Member) (ledger ServiceLedger, err error) {
	err = d.call(ctx, http.MethodGet, m.endpointURL+"/ledger", nil, &ledger)
	return ledger, err
}

// OriginLedger reads the origin's record.
func (d *Deployment) OriginLedger(ctx context.Context) (ledger OriginLedger, err error) {
	err = d.call(ctx, http.MethodGet, d.originURL+"/ledger", nil, &ledger)
	return ledger, err
}

// KVLedger reads the key-value service's record.
func (d *Deployment) KVLedger(ctx context.Context) (ledger KVLedger, err error) {
	err = d.call(ctx, http.MethodGet, d.kvURL+"/ledger", nil, &ledger)
	return ledger, err
}
