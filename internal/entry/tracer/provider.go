package tracer

import (
	"context"
	"io"
	"net/netip"
	"os"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// ProviderConfig configures a Provider. At most one of Exporter, Endpoint and
// File is taken, in this order; without any no spans are recorded.
type ProviderConfig struct {
	Host       identifier.Host
	DataCentre identifier.DataCentre
	// Exporter receives each span as it ends.
	Exporter sdktrace.SpanExporter
	// Endpoint is the address of an OTLP collector over HTTP.
	Endpoint netip.AddrPort
	// File is appended to in JSON; StandardError stands for the standard error.
	File string
	// Ratio is the share of requests that are recorded when their callers don't say.
	Ratio float64
}

// StandardError names the standard error as ProviderConfig.File.
const StandardError = "stderr"

// fileMode is that of a file of spans.
const fileMode = 0o600

// Provider makes spans and exports them in the background.
type Provider struct {
	provider *sdktrace.TracerProvider
	file     io.Closer
}

// NewProvider returns a Provider, or an Error of KindConfig.
func NewProvider(cfg ProviderConfig) (*Provider, error) {
	p := &Provider{}
	exporter, err := p.newExporter(cfg)
	if err != nil {
		return nil, newError("new span exporter", KindConfig, err)
	}
	if exporter == nil {
		return p, nil
	}
	var processor sdktrace.SpanProcessor
	if cfg.Exporter != nil {
		processor = sdktrace.NewSimpleSpanProcessor(exporter)
	} else {
		processor = sdktrace.NewBatchSpanProcessor(exporter)
	}
	p.provider = sdktrace.NewTracerProvider(
		sdktrace.WithSpanProcessor(processor),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(cfg.Ratio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "cardamomd"),
			attribute.String("service.instance.id", string(cfg.Host)),
			attribute.String("cardamom.data-centre", string(cfg.DataCentre)),
		)),
	)
	return p, nil
}

func (p *Provider) newExporter(cfg ProviderConfig) (sdktrace.SpanExporter, error) {
	switch {
	case cfg.Exporter != nil:
		return cfg.Exporter, nil
	case cfg.Endpoint.IsValid():
		return otlptracehttp.New(context.Background(), otlptracehttp.WithEndpoint(cfg.Endpoint.String()), otlptracehttp.WithInsecure())
	case cfg.File == StandardError:
		return stdouttrace.New(stdouttrace.WithWriter(os.Stderr))
	case cfg.File != "":
		file, err := os.OpenFile(cfg.File, os.O_APPEND|os.O_CREATE|os.O_WRONLY, fileMode)
		if err != nil {
			return nil, errors.Wrap(err, "trace.file")
		}
		p.file = file
		return stdouttrace.New(stdouttrace.WithWriter(file))
	default:
		return nil, nil
	}
}

// Spans returns the source of spans, or nil when none are recorded.
func (p *Provider) Spans() trace.TracerProvider {
	if p.provider == nil {
		return nil
	}
	return p.provider
}

// Close hands over the last spans.
func (p *Provider) Close() error {
	if p.provider == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
	defer cancel()
	err := p.provider.Shutdown(ctx)
	if p.file != nil {
		err = errors.CombineErrors(err, p.file.Close())
	}
	if err != nil {
		return newError("close spans", KindExport, err)
	}
	return nil
}
