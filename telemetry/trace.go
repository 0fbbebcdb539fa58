package telemetry

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/jackdawlane/jackdawlane/settings"
)

// ErrTrace marks the error of a trace exporter that could not be set up.
var ErrTrace = errors.New("trace exporter could not be set up")

// Tracing creates spans and exports them.
type Tracing struct {
	provider trace.TracerProvider
	// shutdown exports the remaining spans and stops the exporter.
	shutdown func(context.Context) error
}

// NewTracing sets up the trace exporter that s selects, for the node with the ID. If s
// selects none, spans are discarded and cost nothing. It returns ErrTrace if the exporter
// cannot be set up.
func NewTracing(ctx context.Context, s settings.Trace, nodeID string) (*Tracing, error) {
	exporter, err := newExporter(ctx, s)
	if err != nil {
		return nil, errors.Mark(err, ErrTrace)
	}
	if exporter == nil {
		return &Tracing{provider: noop.NewTracerProvider(), shutdown: func(context.Context) error { return nil }}, nil
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "jackdawlane"),
			attribute.String("service.instance.id", nodeID),
		)),
	)
	return &Tracing{provider: provider, shutdown: provider.Shutdown}, nil
}

func newExporter(ctx context.Context, s settings.Trace) (sdktrace.SpanExporter, error) {
	switch s.Exporter {
	case "file":
		file, err := os.OpenFile(s.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, err
		}
		return stdouttrace.New(stdouttrace.WithWriter(file))
	case "otlp":
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(s.Endpoint.String()), otlptracehttp.WithInsecure())
	}
	return nil, nil
}

// Shutdown exports the remaining spans and stops the exporter.
func (t *Tracing) Shutdown(ctx context.Context) error { return t.shutdown(ctx) }
