package server

import (
	"context"
	"errors"
	"io"
	"net/http"

	"cardamomscale.example/cardamomscale/internal/relay/decider"
	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
	"cardamomscale.example/cardamomscale/internal/relay/forwarder"
	"cardamomscale.example/cardamomscale/internal/relay/scanner"
)

const (
	// maxEventSize bounds one event of a stream.
	maxEventSize = 256 << 10
	// maxStreamSize bounds a stream, maxUnsizedStream one of a request that doesn't say how many
	// tokens it may get. Each token has an event at most, of maxTokenSize.
	maxStreamSize    = 32 << 20
	maxUnsizedStream = 4 << 20
	maxTokenSize     = 4 << 10
)

// streamLimit returns the bound for the answer to a request, in bytes.
func streamLimit(prompt *descriptor.Prompt) int64 {
	if prompt == nil || prompt.MaxOutput <= 0 {
		return maxUnsizedStream
	}
	return min(maxStreamSize, maxEventSize+int64(prompt.MaxOutput)*maxTokenSize)
}

// errTooLong reports a stream or an announced length that exceeds its bound.
var errTooLong = errors.New("the response is too long")

// forwardStream forwards events as they arrive, each once it is complete, so that another target can
// resume after the last one and bytes that are no event don't reach the caller. Of a response that is to
// continue a stream nothing is forwarded before its first event shows that it does.
func (x *exchange) forwardStream(ctx context.Context, resp *forwarder.Response) *decider.AttemptFailed {
	flush := http.NewResponseController(x.w)
	buf := x.server.cfg.Buffers.NewBuffer(maxEventSize)
	defer buf.Release()
	limit, reported := streamLimit(x.req.Prompt), false
	resumed := x.headerSent
	if resumed && !x.mayContinue(resp) {
		resp.Abort()
		return x.readFailed(ctx, errNoContinuation)
	}
	var events scanner.Scanner
	for {
		held := len(buf.Bytes())
		n, err := buf.Fill(resp.Body)
		complete := events.Scan(buf.Bytes()[held:])
		x.received.Bytes += int64(n)
		x.received.InsideEvent = events.InsideEvent()
		forward := complete > 0
		if forward && resumed && !reported {
			continued, decided := x.position.isContinued(buf.Bytes()[:held+complete])
			if decided && !continued {
				err = errNoContinuation
			}
			forward = continued
		}
		if forward {
			if !reported {
				reported = true
				x.reportFirstPart(resp)
			}
			if werr := x.writeEvents(resp, flush, buf.Bytes()[:held+complete]); werr != nil {
				resp.Abort()
				x.disconnected()
			}
			buf.Discard(held + complete)
		}
		if errors.Is(err, io.EOF) {
			return x.finishStream(ctx, resp, reported)
		}
		if err == nil && x.received.Bytes > limit {
			err = errTooLong
		}
		if err != nil {
			resp.Abort()
			return x.readFailed(ctx, err)
		}
	}
}

// errTruncated reports a stream that ended with its framing or connection, but too early.
var errTruncated = errors.New("the stream ended inside an event or before the first one")

// finishStream completes a stream that its target has ended. A target that fails may close the
// connection without a reset, so an end inside an event is no end of the stream, and neither is
// that of a connection without any event.
func (x *exchange) finishStream(ctx context.Context, resp *forwarder.Response, reported bool) *decider.AttemptFailed {
	if x.received.InsideEvent || x.received.Bytes == 0 && resp.Framing == decider.FramingConnection {
		resp.Abort()
		return x.readFailed(ctx, errTruncated)
	}
	if x.headerSent && !reported {
		resp.Release()
		return x.readFailed(ctx, errNoContinuation)
	}
	resp.Release()
	if !reported {
		x.reportFirstPart(resp)
	}
	if !x.headerSent {
		x.writeHeader(resp)
	}
	x.post(decider.AttemptDone{Number: x.number, Status: resp.Status, Body: x.received, Events: x.position.events})
	return nil
}

// writeEvents writes events to the caller and records the ID of the last one.
func (x *exchange) writeEvents(resp *forwarder.Response, flush *http.ResponseController, events []byte) error {
	if !x.headerSent {
		x.writeHeader(resp)
	}
	x.position.advance(events)
	if _, err := x.w.Write(events); err != nil {
		return err
	}
	return flush.Flush()
}
