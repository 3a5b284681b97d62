package onsite

import (
	"time"

	"comfreyrelay.example/entry/internal/gateway"
	"comfreyrelay.example/relay/wire"
)

// Defaults of bounds that the platform does not state.
const (
	defaultRevoke  = 5 * time.Second
	defaultApply   = 2 * time.Second
	defaultGrace   = 8 * time.Second
	defaultVersion = 8 * time.Second
	defaultRatio   = 0.2
	defaultSlack   = 20.0
	defaultTTL     = 5 * time.Second
	defaultWindow  = 10 * time.Second
	// revokeMargin is left of the time for revoked keys for a request's way to its endpoint.
	revokeMargin = 400 * time.Millisecond
	// freshTTL is how long callers should keep an answer at most: an entry that
	// is gone is named for so long.
	maxDirectoryTTL = 2 * time.Second
)

// bounds are the platform's promises in the process's terms.
type bounds struct {
	gateway      gateway.Bounds
	grace        time.Duration
	directoryTTL time.Duration
}

func newBounds(cfg *wire.SiteBounds) bounds {
	ttl := seconds(cfg.GetDirectoryTtlSeconds(), defaultTTL)
	return bounds{
		gateway: gateway.Bounds{
			Revoke:  max(revokeMargin, millis(cfg.GetRevokeMillis(), defaultRevoke)-revokeMargin),
			Apply:   millis(cfg.GetApplyMillis(), defaultApply),
			Version: millis(cfg.GetVersionMillis(), defaultVersion),
			Ratio:   orDefault(cfg.GetRetryRatio(), defaultRatio),
			Slack:   orDefault(cfg.GetRetrySlack(), defaultSlack),
			Window:  seconds(cfg.GetRetryWindowSeconds(), defaultWindow),
		},
		grace:        millis(cfg.GetGraceMillis(), defaultGrace),
		directoryTTL: min(maxDirectoryTTL, ttl),
	}
}

func millis(count uint32, fallback time.Duration) time.Duration {
	if count == 0 {
		return fallback
	}
	return time.Duration(count) * time.Millisecond
}

func seconds(count float64, fallback time.Duration) time.Duration {
	return time.Duration(orDefault(count, fallback.Seconds()) * float64(time.Second))
}

func orDefault(value, fallback float64) float64 {
	if value <= 0 {
		return fallback
	}
	return value
}
