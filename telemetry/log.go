// Package telemetry sets up logs, metrics and traces.
package telemetry

import (
	"io"

	"github.com/charmbracelet/log"

	"github.com/jackdawlane/jackdawlane/settings"
)

// NewLogger returns a logger that writes to w with the level and the format of s.
func NewLogger(w io.Writer, s settings.Log) *log.Logger {
	logger := log.NewWithOptions(w, log.Options{ReportTimestamp: true})
	SetLevel(logger, s)
	if s.Format == "json" {
		logger.SetFormatter(log.JSONFormatter)
	}
	return logger
}

// SetLevel sets the level of a logger to the level of s. If that is not a valid level, the
// logger keeps its own.
func SetLevel(logger *log.Logger, s settings.Log) {
	if level, err := log.ParseLevel(s.Level); err == nil {
		logger.SetLevel(level)
	}
}
