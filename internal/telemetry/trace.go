package telemetry

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// TraceOptions says where spans go. With an empty Endpoint no span is made.
type TraceOptions struct {
	// Endpoint is the URL of an OTLP/HTTP collector.
	Endpoint string
	// Sample is the part of calls that are traced when the caller made no
	// decision, in [0,1].
	Sample     float64
	Service    string
	VM         string
	DataCentre string
}

// traceBatchTimeout bounds how long a finished span waits to be sent.
const traceBatchTimeout = 5 * time.Second

// NewTracerProvider returns the provider of spans and a function that sends
// what is left and ends it.
func NewTracerProvider(ctx context.Context, o TraceOptions) (trace.TracerProvider, func(context.Context) error, error) {
	if o.Endpoint == "" {
		return noop.NewTracerProvider(), func(context.Context) error { return nil }, nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(o.Endpoint))
	if err != nil {
		return nil, nil, fmt.Errorf("telemetry: cannot set up the trace exporter: %w", err)
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter, sdktrace.WithBatchTimeout(traceBatchTimeout)),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(o.Sample))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", o.Service),
			attribute.String("host.name", o.VM),
			attribute.String("cloud.availability_zone", o.DataCentre),
		)),
	)
	return provider, provider.Shutdown, nil
}

// LogTraceErrors has errors of the trace exporter logged. The library keeps one
// handler for the whole process, so this is for a program's start.
func LogTraceErrors(log zerolog.Logger) {
	log = Part(log, "trace")
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) {
		log.Warn().Err(err).Msg("trace: spans are lost")
	}))
}
