// Package logging builds the loggers of the programs, which write one line of key=value pairs per event.
package logging

import (
	"io"

	"github.com/hashicorp/go-hclog"
)

const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes lines at or above level to w.
func New(w io.Writer, program, node, level string) hclog.Logger {
	l := hclog.New(&hclog.LoggerOptions{
		Name:       program,
		Level:      hclog.LevelFromString(level),
		Output:     w,
		TimeFormat: timeFormat,
	})
	return l.With("node", node)
}

// Discard returns a logger that discards all lines.
func Discard() hclog.Logger { return hclog.NewNullLogger() }
