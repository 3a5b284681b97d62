package callers

import (
	"expvar"
	"log/slog"

	"comfreyrelay.example/entry/internal/dispatch"
)

// counters holds the counters of callers' requests that /debug/vars publishes.
var counters = expvar.NewMap("callers")

// account updates the counters, refunds the customer's unused tokens and logs a
// request that was dispatched.
func (c *call) account(result dispatch.Result) {
	counters.Add(string(result.Outcome), 1)
	counters.Add("attempts", int64(result.Attempts))
	counters.Add("tokens", int64(len(result.Tokens)))
	if result.Affinity {
		counters.Add("affinity", 1)
	}
	c.customer.refund(c.req.MaxTokens - len(result.Tokens))
	reason := ""
	if result.Err != nil {
		reason = result.Err.Message()
	}
	c.logRequest(result, reason)
}

// logRequest writes the log line of a request that has ended.
func (c *call) logRequest(result dispatch.Result, reason string) {
	level := slog.LevelInfo
	if !c.srv.cfg.Log.Enabled(c.r.Context(), level) {
		return
	}
	attrs := make([]slog.Attr, 0, 16)
	attrs = append(attrs,
		slog.String("request", c.id),
		slog.Uint64("revision", uint64(c.index.snapshot.Revision)),
		slog.String("outcome", string(result.Outcome)),
		slog.Duration("took", c.srv.cfg.Clock.Since(c.arrived)),
	)
	if c.hasKey {
		attrs = append(attrs, slog.String("key", c.key.String()))
	}
	if c.customer != nil {
		attrs = append(attrs, slog.String("customer", c.customer.name))
	}
	if c.req != nil {
		attrs = append(attrs, slog.String("lane", c.req.HostPool))
	}
	if result.Attempts > 0 {
		attrs = append(attrs,
			slog.Int("attempts", result.Attempts), slog.String("host", result.Host),
			slog.String("version", result.Version), slog.Duration("firstToken", result.FirstToken),
			slog.Duration("queued", result.Queued), slog.Int("tokens", len(result.Tokens)))
	}
	if reason != "" {
		attrs = append(attrs, slog.String("reason", reason))
	}
	c.srv.cfg.Log.LogAttrs(c.r.Context(), level, "request ended", attrs...)
}
