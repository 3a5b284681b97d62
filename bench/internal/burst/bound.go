package burst

import "time"

// Copies of the model that the links carry in one window, as specified by the users.
const (
	originCopiesPerWindow = 4
	linkCopiesPerWindow   = 2
)

// Links holds the bandwidths of one case in bytes per second.
type Links struct {
	// Origin is the uplink of the origin. Host is the link of each host, per
	// direction or, if Shared, for both directions together.
	Origin, Host float64
	Shared       bool
}

// LinksFor returns the bandwidths that carry the specified copies of the model per
// window.
func LinksFor(modelBytes float64, window time.Duration, shared bool) Links {
	perCopy := modelBytes / window.Seconds()
	return Links{Origin: originCopiesPerWindow * perCopy, Host: linkCopiesPerWindow * perCopy, Shared: shared}
}

// FluidBound returns the minimum time in seconds to distribute the model to n hosts
// (Mundinger, Weber and Weiss, 2008). If both directions share a link, the sum of the
// bytes that hosts send and receive is a bound too: n copies arrive, and all of them
// except those from the origin are sent by hosts.
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
