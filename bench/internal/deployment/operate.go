package deployment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/encoding/protojson"

	"comfreyrelay.example/relay/wire"
)

// pollInterval is the time between two checks of a condition that is waited for.
const pollInterval = 50 * time.Millisecond

// Publication describes a model version that the origin should generate.
type Publication struct {
	Model          string  `json:"model"`
	Kind           string  `json:"kind"`
	BaseVersion    string  `json:"baseVersion,omitempty"`
	Mib            float64 `json:"mib"`
	ChunkKib       int     `json:"chunkKib"`
	Seed           uint64  `json:"seed"`
	FromVersion    string  `json:"fromVersion,omitempty"`
	ChangeFraction float64 `json:"changeFraction,omitempty"`
}

// Published is a version that the origin generated.
type Published struct {
	Version string `json:"version"`
	Chunks  int    `json:"chunks"`
	Bytes   uint64 `json:"bytes"`
}

// Publish makes the origin generate a version.
func (d *Deployment) Publish(ctx context.Context, pub Publication) (made Published, err error) {
	if pub.Kind == "" {
		pub.Kind = "base"
	}
	err = d.call(ctx, http.MethodPost, d.originURL+"/publish", pub, &made)
	return made, err
}

// WriteDocument writes the document to a file for comfreyctl and returns its
// name.
func (d *Deployment) WriteDocument(doc *wire.Document) (string, error) {
	text, err := documentText(doc)
	if err != nil {
		return "", err
	}
	name := filepath.Join(d.dir, "document-"+uuid.NewString()+".json")
	return name, os.WriteFile(name, text, settingsMode)
}

// submission is the body of POST /v1/document.
type submission struct {
	BaseRevision uint32          `json:"baseRevision"`
	SubmissionID string          `json:"submissionId"`
	Reason       string          `json:"reason"`
	Document     json.RawMessage `json:"document"`
}

// Submit submits the document to the entry and returns the new revision.
func (d *Deployment) Submit(ctx context.Context, entry *Member, base uint32, doc *wire.Document, reason string) (uint32, error) {
	text, err := documentText(doc)
	if err != nil {
		return 0, err
	}
	body := submission{BaseRevision: base, SubmissionID: uuid.NewString(), Reason: reason, Document: text}
	var reply struct {
		Revision uint32 `json:"revision"`
	}
	err = callWith(ctx, http.MethodPost, "http://"+entry.callers+"/v1/document", OperatorKey, body, &reply)
	return reply.Revision, err
}

// InForce reads the document in force at the entry.
func (d *Deployment) InForce(ctx context.Context, entry *Member) (uint32, *wire.Document, error) {
	var reply struct {
		Revision uint32          `json:"revision"`
		Document json.RawMessage `json:"document"`
	}
	if err := callWith(ctx, http.MethodGet, "http://"+entry.callers+"/v1/document", OperatorKey, nil, &reply); err != nil {
		return 0, nil, err
	}
	doc := &wire.Document{}
	if len(reply.Document) > 0 {
		if err := protojson.Unmarshal(reply.Document, doc); err != nil {
			return 0, nil, err
		}
	}
	return reply.Revision, doc, nil
}

// EngineStatus is an engine's report of what it has loaded and runs.
type EngineStatus struct {
	Model    string `json:"model"`
	Version  string `json:"version"`
	Fence    uint64 `json:"fence"`
	Running  int    `json:"running"`
	Queued   int    `json:"queued"`
	Adapters []struct {
		Name    string `json:"name"`
		Version string `json:"version"`
	} `json:"adapters"`
}

// EngineStatus asks the member's engine directly, not through the system.
func (d *Deployment) EngineStatus(ctx context.Context, m *Member) (status EngineStatus, err error) {
	err = d.call(ctx, http.MethodGet, m.endpointURL+"/status", nil, &status)
	return status, err
}

// errNotServing is returned when the context ends before all hosts serve.
var errNotServing = errors.New("not every host serves the version")

// WaitServing waits until the engine of each host reports that it has loaded the
// version. It does not wait for hosts for which alive returns false; a nil alive
// means that all are alive.
func (d *Deployment) WaitServing(ctx context.Context, hosts []*Member, version string, alive func(*Member) bool) error {
	waiting := append([]*Member(nil), hosts...)
	for {
		var rest []*Member
		for _, m := range waiting {
			if alive != nil && !alive(m) {
				continue
			}
			status, err := d.EngineStatus(ctx, m)
			if err != nil || status.Version != version {
				rest = append(rest, m)
			}
		}
		if len(rest) == 0 {
			return nil
		}
		waiting = rest
		if err := sleep(ctx, pollInterval); err != nil {
			return fmt.Errorf("%w: %d of %d wait, first %s: %w", errNotServing, len(rest), len(hosts), rest[0].id, err)
		}
	}
}

// WaitRoutable waits until every running entry reports at /readyz that it is ready.
func (d *Deployment) WaitRoutable(ctx context.Context) error {
	for _, m := range d.entries {
		for !m.process.Ended() {
			err := d.call(ctx, http.MethodGet, "http://"+m.operators+"/readyz", nil, nil)
			if err == nil {
				break
			}
			if err := sleep(ctx, pollInterval); err != nil {
				return fmt.Errorf("%s is not ready: %w", m.id, err)
			}
		}
	}
	return nil
}

func sleep(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
