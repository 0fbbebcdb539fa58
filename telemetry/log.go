// Package telemetry sets up logs, metrics and traces.
package telemetry

import (
	"io"

	"github.com/charmbracelet/log"

	"github.com/jackdawlane/jackdawlane/settings"
)

// NewLogger returns a logger that writes to w at the level and in the format of s.
func NewLogger(w io.Writer, s settings.Log) *log.Logger {
	logger := log.NewWithOptions(w, log.Options{ReportTimestamp: true})
	if level, err := log.ParseLevel(s.Level); err == nil {
		logger.SetLevel(level)
	}
	if s.Format == "json" {
		logger.SetFormatter(log.JSONFormatter)
	}
	return logger
}
