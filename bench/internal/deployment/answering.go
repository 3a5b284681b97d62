package deployment

import (
	"context"
	"fmt"
	"net/http"
)

// probe is a repeatable request that tests whether an entry answers.
type probe struct {
	Model          string `json:"model"`
	Prompt         string `json:"prompt"`
	MaxTokens      int    `json:"maxTokens"`
	Repeatable     bool   `json:"repeatable"`
	DeadlineMillis int    `json:"deadlineMillis"`
}

// WaitAnswering waits until every running entry answers a request of the customer.
// Entries learn which hosts serve a model only some time after the hosts do.
func (d *Deployment) WaitAnswering(ctx context.Context, customer Customer) error {
	for _, m := range d.entries {
		if err := d.waitAnswered(ctx, m, customer); err != nil {
			return err
		}
	}
	return nil
}

// waitAnswered sends probes to the entry until it answers one or its process ends.
func (d *Deployment) waitAnswered(ctx context.Context, m *Member, customer Customer) error {
	const deadlineMillis = 2000
	body := probe{Model: ModelName, Prompt: "probe", MaxTokens: 1, Repeatable: true, DeadlineMillis: deadlineMillis}
	for !m.process.Ended() {
		err := callWith(ctx, http.MethodPost, "http://"+m.callers+"/v1/requests", customer.Key(), body, nil)
		if err == nil {
			return nil
		}
		if stopped := sleep(ctx, pollInterval); stopped != nil {
			return fmt.Errorf("%s does not answer requests: %w", m.id, err)
		}
	}
	return nil
}
