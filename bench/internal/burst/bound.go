package burst

import "time"

// Copies that the links carry in one window, as the users state them.
const (
	originCopiesPerWindow = 4
	linkCopiesPerWindow   = 2
)

// Links are the rates of one case in bytes per second.
type Links struct {
	// Origin is the origin's uplink; Host each host's link, in each direction
	// or for both together.
	Origin, Host float64
	Shared       bool
}

// LinksFor returns the rates that carry the model in the window.
func LinksFor(modelBytes float64, window time.Duration, shared bool) Links {
	perCopy := modelBytes / window.Seconds()
	return Links{Origin: originCopiesPerWindow * perCopy, Host: linkCopiesPerWindow * perCopy, Shared: shared}
}

// FluidBound returns the least seconds in which n hosts can each hold the
// model (Mundinger, Weber and Weiss, 2008). Where both directions share the
// link, all bytes that hosts send and receive bound it too: n copies arrive,
// and all but those from the origin leave a host.
func FluidBound(modelBytes float64, n int, links Links) float64 {
	hosts := float64(n)
	bound := max(modelBytes/links.Origin, modelBytes/links.Host, hosts*modelBytes/(links.Origin+hosts*links.Host))
	if !links.Shared {
		return bound
	}
	// In time t the origin sends at most Origin*t, so hosts send at least
	// n*M - Origin*t, and their links carry n*M more: t(n*Host + Origin) >= 2nM.
	return max(bound, 2*hosts*modelBytes/(hosts*links.Host+links.Origin))
}
