package server

import (
	"cardamomscale.example/cardamomscale/internal/decision/reducer"
	"cardamomscale.example/cardamomscale/internal/entry/meter"
	"cardamomscale.example/cardamomscale/internal/entry/tracer"
)

// lookup asks a store for blocks under a span of its own.
func (x *exchange) lookup(e reducer.Lookup) {
	ctx, span := x.trace.Start(x.ctx, tracer.SpanLookup, tracer.KeyStore.String(string(e.Store)))
	done := x.server.cfg.Caches.Lookup(ctx, e)
	span.End(failedIf(done.Failed), tracer.KeyBlocks.Int(len(done.Blocks)))
	x.server.cfg.Reducer.Post(done)
}

// fetch orders an import under a span of its own.
func (x *exchange) fetch(e reducer.Import) {
	ctx, span := x.trace.Start(x.ctx, nameOfImport(e), tracer.KeyStore.String(string(e.Store)), tracer.KeyTarget.String(string(e.Target)))
	done := x.server.cfg.Caches.Import(ctx, e)
	span.End(failedIf(done.Failed), tracer.KeyBlocks.Int(done.Blocks), tracer.KeyBytes.Int64(done.Bytes))
	if !e.Probe {
		x.imported = done.Blocks
	}
	x.server.cfg.Meter.Moved(e.Store, meter.DirectionImport, done.Bytes)
	x.server.cfg.Reducer.Post(done)
}

func failedIf(failed bool) string {
	if failed {
		return "failed"
	}
	return ""
}

// attempt runs an attempt under a span of its own, whose name the target gets.
func (x *exchange) attempt(e reducer.Start) {
	name := tracer.SpanAttempt
	if e.ResumeOffset > 0 {
		name = tracer.SpanResume
	}
	ctx, span := x.trace.Start(x.attemptContext(), name,
		tracer.KeyTarget.String(string(e.Target)), tracer.KeyAttempt.Int(e.Attempt.Number), tracer.KeyOffset.Int(e.ResumeOffset))
	done := x.runner.run(ctx, e)
	failure := ""
	if failed, ok := done.(reducer.AttemptFailed); ok {
		failure = string(failed.Reason)
	}
	span.End(failure)
	x.server.cfg.Reducer.Post(done)
}

// nameOfImport tells a question for blocks from an import.
func nameOfImport(e reducer.Import) string {
	if e.Probe {
		return tracer.SpanProbe
	}
	return tracer.SpanImport
}
