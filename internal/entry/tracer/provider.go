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

// ProviderConfig configures a Provider. The first of Exporter, Endpoint and File
// that is set is used; without any no spans are recorded.
type ProviderConfig struct {
	Host       identifier.Host
	DataCentre identifier.DataCentre
	// Exporter receives each span synchronously when it ends.
	Exporter sdktrace.SpanExporter
	// Endpoint is the address of an OTLP collector, which is reached over plain HTTP.
	Endpoint netip.AddrPort
	// File is the file to which spans are appended in JSON, or StandardError.
	File string
	// Ratio is the share of requests, from 0 to 1, that are sampled if the caller's
	// trace context does not decide it.
	Ratio float64
}

// StandardError is the ProviderConfig.File that writes spans to standard error.
const StandardError = "stderr"

// spanFileMode is the permissions of a new span file.
const spanFileMode = 0o600

// Provider creates spans and exports them, in batches unless an Exporter is given.
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
		file, err := os.OpenFile(cfg.File, os.O_APPEND|os.O_CREATE|os.O_WRONLY, spanFileMode)
		if err != nil {
			return nil, errors.Wrap(err, "trace.file")
		}
		p.file = file
		return stdouttrace.New(stdouttrace.WithWriter(file))
	default:
		return nil, nil
	}
}

// TracerProvider returns the provider for Config.Provider, or nil if no spans are recorded.
func (p *Provider) TracerProvider() trace.TracerProvider {
	if p.provider == nil {
		return nil
	}
	return p.provider
}

// Close exports the remaining spans and closes the file, if any.
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
		return newError("close span exporter", KindExport, err)
	}
	return nil
}
