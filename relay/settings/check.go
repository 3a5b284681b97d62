package settings

import (
	"fmt"
	"net/netip"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"comfreyrelay.example/relay/schema"
	"comfreyrelay.example/relay/wire"
)

const (
	minWindowBytes = 4 << 20
	maxWindowBytes = 64 << 20
	maxDuration    = time.Hour
	minInterval    = 10 * time.Millisecond
	// minLease leaves the holder enough time to notice that its lease is ending and
	// to stop before it expires.
	minLease = 500 * time.Millisecond
)

func checkEntry(set *wire.EntrySettings) []schema.Problem {
	found := checkNode(set.GetNode())
	found = append(found, checkDuration(set.GetDirectoryTtl(), time.Second, "directoryTtl")...)
	found = append(found, checkDuration(set.GetSyncInterval(), minInterval, "syncInterval")...)
	found = append(found, checkDuration(set.GetLeaseTtl(), minLease, "leaseTtl")...)
	found = append(found, checkDuration(set.GetDrainTimeout(), 0, "drainTimeout")...)
	found = append(found, checkEntrySite(set.GetSite())...)
	found = append(found, checkDistinctAddresses(listeners{
		{"/node/controlAddress", set.GetNode().GetControlAddress()},
		{"/node/operatorsAddress", set.GetNode().GetOperatorsAddress()},
		{"/callersAddress", set.GetCallersAddress()},
		{"/site/readyAddress", set.GetSite().GetReadyAddress()},
		{"/site/directoryAddress", set.GetSite().GetDirectoryAddress()},
	})...)
	return schema.Sort(found)
}

// checkEntrySite reports missing addresses of the listeners that a platform calls
// on an entry.
func checkEntrySite(set *wire.SiteSettings) []schema.Problem {
	if set == nil {
		return nil
	}
	var found []schema.Problem
	for _, one := range []struct{ path, address string }{
		{"/site/readyAddress", set.GetReadyAddress()},
		{"/site/directoryAddress", set.GetDirectoryAddress()},
	} {
		if one.address == "" {
			found = append(found, schema.NewProblem(one.path, "this key is missing, and the entry serves a platform",
				"give the IP number and port that the platform calls"))
		}
	}
	return found
}

func checkAgent(set *wire.AgentSettings) []schema.Problem {
	found := checkNode(set.GetNode())
	found = append(found, checkDuration(set.GetSyncInterval(), minInterval, "syncInterval")...)
	found = append(found, checkDuration(set.GetDrainTimeout(), 0, "drainTimeout")...)
	found = append(found, checkDistinctAddresses(listeners{
		{"/node/controlAddress", set.GetNode().GetControlAddress()},
		{"/node/operatorsAddress", set.GetNode().GetOperatorsAddress()},
	})...)
	if window := set.GetWindowBytes(); window < minWindowBytes || window > maxWindowBytes {
		found = append(found, schema.NewProblem("/windowBytes", fmt.Sprintf("%d bytes are out of bounds", window),
			fmt.Sprintf("write a whole number of bytes from %d to %d", minWindowBytes, maxWindowBytes)))
	}
	if set.GetService() == "" && set.GetOriginUrl() == "" {
		found = append(found, schema.NewProblem("/originUrl", "this key is missing, and no service is named",
			"give the origin's base address for a model engine, or the service's name"))
	}
	return schema.Sort(found)
}

// checkNode reports unencrypted connections between processes unless they are
// enabled explicitly, so that a forgotten key file does not give everyone access.
func checkNode(node *wire.NodeSettings) []schema.Problem {
	if node.GetTls() == nil && !node.GetInsecure() {
		return []schema.Problem{schema.NewProblem("/node/tls", "there are no keys for the connections between processes",
			"give certificateFile, keyFile and authorityFile, or set node.insecure to true for a test")}
	}
	if node.GetTls() != nil && node.GetInsecure() {
		return []schema.Problem{schema.NewProblem("/node/insecure", "unencrypted connections are enabled although keys are given",
			"remove node.insecure, or node.tls for a test")}
	}
	return nil
}

func checkDuration(duration *durationpb.Duration, minimum time.Duration, key string) []schema.Problem {
	got := duration.AsDuration()
	if got >= minimum && got <= maxDuration {
		return nil
	}
	return []schema.Problem{schema.NewProblem(schema.Pointer(key), fmt.Sprintf("%v is out of bounds", got),
		fmt.Sprintf("give %v to %v in seconds, for example %q", minimum, maxDuration, "5s"))}
}

// listeners are the addresses that a process listens on, with their settings'
// paths.
type listeners []struct{ path, address string }

func checkDistinctAddresses(list listeners) []schema.Problem {
	var found []schema.Problem
	for i, later := range list {
		for _, earlier := range list[:i] {
			if later.address == "" || later.address != earlier.address || hasZeroPort(later.address) {
				continue
			}
			found = append(found, schema.NewProblem(later.path, fmt.Sprintf("the address %s is already used by another listener", later.address),
				"give each listener its own port"))
		}
	}
	return found
}

func hasZeroPort(address string) bool {
	at, err := netip.ParseAddrPort(address)
	return err == nil && at.Port() == 0
}
