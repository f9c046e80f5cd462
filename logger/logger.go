// Package logger writes numbered, structured log events.
package logger

import (
	"io"
	"strconv"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Logger writes events. The zero value and a nil Logger discard them. It is safe for
// concurrent use.
type Logger struct {
	out log.Logger
}

// New returns a logger that writes to w in the format "json" or "logfmt". Events below
// the level lowest are discarded.
func New(w io.Writer, format string, lowest Level) *Logger {
	w = log.NewSyncWriter(w)
	out := log.NewLogfmtLogger(w)
	if format == "json" {
		out = log.NewJSONLogger(w)
	}
	out = level.NewFilter(out, allow(lowest))
	return &Logger{out: log.With(out, "time", log.DefaultTimestampUTC)}
}

// With returns a logger that adds the fields to each event. Fields are alternating
// names, in kebab case, and values.
func (l *Logger) With(fields ...any) *Logger {
	if l == nil || l.out == nil {
		return l
	}
	return &Logger{out: log.With(l.out, fields...)}
}

// Log writes an event with fields in the form that With takes.
func (l *Logger) Log(e Event, fields ...any) {
	if l == nil || l.out == nil {
		return
	}
	out := log.WithPrefix(leveled(l.out, e.Level), "event", "KCH"+strconv.Itoa(e.Number), "message", e.Message)
	_ = out.Log(fields...)
}

// leveled returns out with the level l added to each line.
func leveled(out log.Logger, l Level) log.Logger {
	switch l {
	case LevelDebug:
		return level.Debug(out)
	case LevelWarn:
		return level.Warn(out)
	case LevelError:
		return level.Error(out)
	default:
		return level.Info(out)
	}
}

// allow returns the filter option for events of the level l and above.
func allow(l Level) level.Option {
	switch l {
	case LevelDebug:
		return level.AllowDebug()
	case LevelWarn:
		return level.AllowWarn()
	case LevelError:
		return level.AllowError()
	default:
		return level.AllowInfo()
	}
}
