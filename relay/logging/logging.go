// Package logging sets up log/slog with one line of key=value pairs per event.
package logging

import (
	"io"
	"log/slog"
	"strings"
)

// New returns a logger that writes key=value lines to w. The level is "debug",
// "info", "warn" or "error"; anything else means "info".
func New(w io.Writer, level, program, node string) *slog.Logger {
	handler := slog.NewTextHandler(w, &slog.HandlerOptions{Level: parseLevel(level)})
	return slog.New(handler).With("program", program, "node", node)
}

func parseLevel(level string) slog.Level {
	var parsed slog.Level
	if parsed.UnmarshalText([]byte(strings.ToUpper(level))) != nil {
		return slog.LevelInfo
	}
	return parsed
}
