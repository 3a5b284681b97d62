package once

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/google/uuid"
)

var testStart = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

// idAt returns a UUIDv7 for the time; n distinguishes IDs of the same millisecond.
func idAt(made time.Time, n uint32) uuid.UUID {
	var id uuid.UUID
	millis := uint64(made.UnixMilli())
	for i := range 6 {
		id[i] = byte(millis >> (40 - 8*i))
	}
	id[6], id[8] = 0x70, 0x80
	id[12], id[13], id[14], id[15] = byte(n>>24), byte(n>>16), byte(n>>8), byte(n)
	return id
}

// TestTable runs the scripts in testdata/table. Times are minutes since
// testStart; a key's number is the n of its idAt.
func TestTable(t *testing.T) {
	datadriven.Walk(t, "testdata/table", func(t *testing.T, path string) {
		table := NewTable(Options{MaxKeys: 3, MaxAnswerBytes: 40})
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var at, key, made, nonce int
			body := "b"
			d.ScanArgs(t, "at", &at)
			d.ScanArgs(t, "key", &key)
			d.MaybeScanArgs(t, "made", &made)
			d.ScanArgs(t, "nonce", &nonce)
			d.MaybeScanArgs(t, "body", &body)
			now := testStart.Add(time.Duration(at) * time.Minute)
			claim := Claim{
				Key:   NewKey("o", idAt(testStart.Add(time.Duration(made)*time.Minute), uint32(key))),
				Nonce: uuid.UUID{byte(nonce)},
			}
			copy(claim.Hash[:], body)
			switch d.Cmd {
			case "claim":
				verdict := table.Claim(now, claim)
				return fmt.Sprintf("%s %q keys=%d\n", verdict.State, verdict.Answer, table.Keys())
			case "settle":
				var outcome string
				answer := ""
				d.ScanArgs(t, "outcome", &outcome)
				d.MaybeScanArgs(t, "answer", &answer)
				counted := table.Settle(now, claim, Outcome(outcome), []byte(answer))
				return fmt.Sprintf("counted=%t keys=%d\n", counted, table.Keys())
			default:
				return "unknown command\n"
			}
		})
	})
}
