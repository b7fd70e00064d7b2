package bwobserve

import (
	"io"
	"log/slog"
	"net/netip"

	"bilberrywick/core/bwmodel"
)

// LogConfig configures the log of a process.
type LogConfig struct {
	// Output receives one JSON object per line; nil discards the log.
	Output io.Writer
	// NonBlocking, if set, receives the log instead of Output, so that logging
	// does not wait for a slow output.
	NonBlocking *NonBlockingWriter
	Level       slog.Level
	// Member is the process's identity, which is added to each line.
	Member bwmodel.Member
	// Version is the program's version, which is added to each line.
	Version string
}

// NewLog returns the log of a process.
func NewLog(cfg LogConfig) *slog.Logger {
	if cfg.Output == nil {
		cfg.Output = io.Discard
	}
	opts := &slog.HandlerOptions{Level: cfg.Level, ReplaceAttr: formatAttr}
	var hdl slog.Handler = slog.NewJSONHandler(cfg.Output, opts)
	if cfg.NonBlocking != nil {
		hdl = cfg.NonBlocking.Handler(slog.NewJSONHandler(cfg.NonBlocking, opts))
	}
	attrs := []slog.Attr{
		slog.String("Member", string(cfg.Member.ID)),
		slog.Uint64("Incarnation", uint64(cfg.Member.Incarnation)),
		slog.String("Role", cfg.Member.Role.String()),
		slog.String("Region", string(cfg.Member.Region)),
		slog.String("Zone", string(cfg.Member.Zone)),
		slog.String("Version", cfg.Version),
	}
	return slog.New(hdl.WithAttrs(attrs))
}

// formatAttr capitalizes the names of slog's built-in fields, like those of all
// other fields, and formats durations and addresses as text.
func formatAttr(groups []string, attr slog.Attr) slog.Attr {
	if len(groups) == 0 {
		switch attr.Key {
		case slog.TimeKey:
			attr.Key = "Time"
		case slog.LevelKey:
			attr.Key = "Level"
		case slog.MessageKey:
			attr.Key = "Message"
		case slog.SourceKey:
			attr.Key = "Source"
		}
	}
	switch attr.Value.Kind() {
	case slog.KindDuration:
		attr.Value = slog.StringValue(attr.Value.Duration().String())
	case slog.KindAny:
		if addr, ok := attr.Value.Any().(netip.AddrPort); ok {
			attr.Value = slog.StringValue(addr.String())
		}
	}
	return attr
}
