package client_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/ctl/internal/client"
	"comfreyrelay.example/relay/endless"
)

// Guards against a command that never returns, or runs out of memory, under an entry whose reply does
// not end: what is read is bounded and the command fails.
func TestEndlessReplyIsCutOff(t *testing.T) {
	for _, test := range []struct{ name, prefix, repeated string }{
		{"no reply", "", "garbage "},
		{"header", "HTTP/1.1 200 OK\r\nX-Pad: ", "a"},
		{"body", "HTTP/1.1 200 OK\r\n\r\n", "x"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			err := endless.Check(t.Context(), test.prefix, test.repeated, false, func(ctx context.Context, address string) error {
				apiClient, err := client.New(client.Options{Entries: []string{address}, Timeout: time.Minute, Clock: clockwork.NewRealClock()})
				if err != nil {
					t.Fatal(err)
				}
				_, err = apiClient.Audit(ctx, 0, 1)
				return err
			})
			if err != nil {
				t.Error(err)
			}
		})
	}
}
