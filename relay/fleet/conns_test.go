package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"comfreyrelay.example/relay/catalog"
	"comfreyrelay.example/relay/fleet"
)

// Guards against entries that together open more connections to an endpoint than it accepts: the
// endpoint resets the excess ones.
func TestConnectionsToAnEndpointAreSharedByAllEntries(t *testing.T) {
	for _, tc := range []struct{ entries, known, maxConns, slots int }{
		{9, 9, 110, 6}, {9, 9, 48, 8}, {38, 38, 460, 6}, {98, 98, 1200, 64}, {9, 9, 0, 6},
		// The registrations of the others have lapsed.
		{9, 1, 110, 6}, {38, 2, 460, 6},
	} {
		t.Run(fmt.Sprintf("%d of %d entries known, %d connections", tc.known, tc.entries, tc.maxConns), func(t *testing.T) {
			now := time.Now()
			inUse, idle := 0, 0
			for i := range tc.entries {
				flt := fleet.New(func() time.Time { return now })
				flt.Configure(catalog.New(catalog.Spec{Services: []catalog.Service{{Name: "app", MaxConns: tc.maxConns}}}))
				flt.Register(fleet.Registration{ID: "e", Service: "app", Address: "10.0.0.1:80", FailureDomain: "d", Slots: tc.slots})
				var others []string
				for j := range tc.known - 1 {
					others = append(others, fmt.Sprint("other-", i, j))
				}
				flt.SetEntries("self", others, tc.entries)
				// The endpoint queues any number of requests.
				need := fleet.Need{Domain: "d", Entries: tc.entries, Extra: 1000}
				var grants []*fleet.Grant
				for {
					grant, verdict := flt.Group("app").Pick(need)
					if verdict != fleet.Granted || len(grants) > 100 {
						break
					}
					grants = append(grants, grant)
				}
				if len(grants) == 0 {
					t.Fatal("got no request sent by an entry")
				}
				inUse += len(grants)
				idleRoom := 0
				for _, grant := range grants {
					idleRoom = grant.MaxIdleConns()
					grant.Done(fleet.Served)
				}
				idle += min(idleRoom, len(grants))
			}
			if tc.maxConns > 0 && (inUse > tc.maxConns || idle > tc.maxConns) {
				t.Errorf("got %d connections in use, then %d idle, want at most %d", inUse, idle, tc.maxConns)
			}
		})
	}
}
