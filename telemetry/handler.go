package telemetry

import (
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/jackdawlane/jackdawlane/hop"
)

// traceContext reads and writes the headers that carry the span of a request from hop to
// hop (W3C Trace Context).
var traceContext = propagation.TraceContext{}

// Handler returns a handler that runs next in a span called name for each request, and
// counts the outcomes in m. The request that next receives carries the trace context of
// the new span, so a handler that forwards the headers links the next hop to the span.
func (t *Tracing) Handler(name string, m *Metrics, next http.Handler) http.Handler {
	tracer := t.provider.Tracer("jackdawlane")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := traceContext.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer))
		r = r.WithContext(ctx)
		traceContext.Inject(ctx, propagation.HeaderCarrier(r.Header))
		recorder := &outcomeRecorder{ResponseWriter: w}
		defer func() {
			m.CountRequest(name, recorder.outcome, recorder.reason)
			endSpan(span, recorder)
		}()
		next.ServeHTTP(recorder, r)
	})
}

// InstrumentHandler returns a handler that records the status, the outcome and the latency
// of each request to next in m, without a span.
func (m *Metrics) InstrumentHandler(name string, next http.Handler) http.Handler {
	latency := NewHistogram()
	m.root.Set(name+".latency", latency)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := &outcomeRecorder{ResponseWriter: w}
		started := time.Now()
		defer func() {
			latency.Observe(time.Since(started))
			m.Add(name+".status."+strconv.Itoa(recorder.status), 1)
			if recorder.outcome != "" {
				m.CountRequest(name, recorder.outcome, recorder.reason)
			}
		}()
		next.ServeHTTP(recorder, r)
	})
}

func endSpan(span trace.Span, recorder *outcomeRecorder) {
	if span.IsRecording() {
		span.SetAttributes(
			attribute.Int("http.response.status_code", recorder.status),
			attribute.String("jackdawlane.outcome", recorder.outcome),
			attribute.String("jackdawlane.reason", recorder.reason),
		)
		if recorder.outcome != string(hop.OutcomeAnswer) {
			span.SetStatus(codes.Error, recorder.reason)
		}
	}
	span.End()
}

// outcomeRecorder records the status, the outcome and the reason that a handler writes.
type outcomeRecorder struct {
	http.ResponseWriter
	status          int
	outcome, reason string
}

// WriteHeader records the status, the outcome and the reason of a final response, not of
// an informational one (1xx).
func (r *outcomeRecorder) WriteHeader(status int) {
	if status >= http.StatusOK {
		r.status = status
		r.outcome = r.Header().Get(hop.HeaderOutcome)
		r.reason = r.Header().Get(hop.HeaderReason)
	}
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter. It writes the header first if that was not done yet, so
// that the status is recorded.
func (r *outcomeRecorder) Write(p []byte) (int, error) {
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	return r.ResponseWriter.Write(p)
}

// Unwrap gives http.ResponseController access to the wrapped writer.
func (r *outcomeRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }
