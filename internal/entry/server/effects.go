package server

import (
	"cardamomscale.example/cardamomscale/internal/decision/reducer"
	"cardamomscale.example/cardamomscale/internal/entry/meter"
	"cardamomscale.example/cardamomscale/internal/entry/tracer"
)

// lookup asks a store which cache blocks it has, in a span.
func (x *exchange) lookup(e reducer.Lookup) {
	ctx, span := x.trace.Start(x.ctx, tracer.SpanLookup, tracer.KeyStore.String(string(e.Store)))
	done := x.server.cfg.Caches.Lookup(ctx, e)
	span.End(failureStatus(done.Failed), tracer.KeyBlocks.Int(len(done.Blocks)))
	x.server.cfg.Reducer.Post(done)
}

// importBlocks orders a target to import cache blocks, or asks which of them it holds
// if e is a probe, in a span.
func (x *exchange) importBlocks(e reducer.Import) {
	ctx, span := x.trace.Start(x.ctx, importSpanName(e), tracer.KeyStore.String(string(e.Store)), tracer.KeyTarget.String(string(e.Target)))
	done := x.server.cfg.Caches.Import(ctx, e)
	span.End(failureStatus(done.Failed), tracer.KeyBlocks.Int(done.Blocks), tracer.KeyBytes.Int64(done.Bytes))
	if !e.Probe {
		x.importedBlocks = done.Blocks
	}
	x.server.cfg.Meter.CountBlockBytes(e.Store, meter.DirectionImport, done.Bytes)
	x.server.cfg.Reducer.Post(done)
}

// failureStatus returns the error status of a span.
func failureStatus(failed bool) string {
	if failed {
		return "failed"
	}
	return ""
}

// runAttempt makes an attempt in a span, whose context is propagated to the target.
func (x *exchange) runAttempt(e reducer.Start) {
	name := tracer.SpanAttempt
	if e.ResumeOffset > 0 {
		name = tracer.SpanResume
	}
	ctx, span := x.trace.Start(x.attemptContext(), name,
		tracer.KeyTarget.String(string(e.Target)), tracer.KeyAttempt.Int(e.Attempt.Number), tracer.KeyOffset.Int(e.ResumeOffset))
	done := x.responder.run(ctx, e)
	failure := ""
	if failed, ok := done.(reducer.AttemptFailed); ok {
		failure = string(failed.Reason)
	}
	span.End(failure)
	x.server.cfg.Reducer.Post(done)
}

// importSpanName returns the span name for an import or a probe.
func importSpanName(e reducer.Import) string {
	if e.Probe {
		return tracer.SpanProbe
	}
	return tracer.SpanImport
}
