package onsite

import (
	"time"

	"comfreyrelay.example/entry/internal/gateway"
	"comfreyrelay.example/relay/wire"
)

// Defaults for bounds that the platform does not set.
const (
	defaultRevoke  = 5 * time.Second
	defaultApply   = 2 * time.Second
	defaultGrace   = 8 * time.Second
	defaultVersion = 8 * time.Second
	defaultRatio   = 0.2
	defaultSlack   = 20.0
	defaultTTL     = 5 * time.Second
	defaultWindow  = 10 * time.Second
	// revokeMargin is subtracted from the time within which revoked keys must be rejected. It
	// allows for the time that a request takes to reach its endpoint.
	revokeMargin = 400 * time.Millisecond
	// maxDirectoryTTL limits how long callers may cache a directory answer, because they keep
	// using an entry that is gone for as long.
	maxDirectoryTTL = 2 * time.Second
)

// bounds holds the limits that the platform guarantees, converted for this process.
type bounds struct {
	gateway      gateway.Bounds
	grace        time.Duration
	directoryTTL time.Duration
}

// newBounds converts the bounds in the settings and fills in defaults.
func newBounds(cfg *wire.SiteBounds) bounds {
	ttl := seconds(cfg.GetDirectoryTtlSeconds(), defaultTTL)
	return bounds{
		gateway: gateway.Bounds{
			MaxKeyAge:      max(revokeMargin, millis(cfg.GetRevokeMillis(), defaultRevoke)-revokeMargin),
			MaxConfigAge:   millis(cfg.GetApplyMillis(), defaultApply),
			VersionRollout: millis(cfg.GetVersionMillis(), defaultVersion),
			Ratio:          orDefault(cfg.GetRetryRatio(), defaultRatio),
			Slack:          orDefault(cfg.GetRetrySlack(), defaultSlack),
			Window:         seconds(cfg.GetRetryWindowSeconds(), defaultWindow),
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
