package server

import (
	"bytes"
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
// resume after the last one and bytes that are no event don't reach the caller.
func (x *exchange) forwardStream(ctx context.Context, resp *forwarder.Response) *decider.AttemptFailed {
	flush := http.NewResponseController(x.w)
	buf := x.server.cfg.Buffers.NewBuffer(maxEventSize)
	defer buf.Release()
	limit, reported := streamLimit(x.req.Prompt), false
	var events scanner.Scanner
	for {
		held := len(buf.Bytes())
		n, err := buf.Fill(resp.Body)
		complete := events.Scan(buf.Bytes()[held:])
		x.received.Bytes += int64(n)
		x.received.InsideEvent = events.InsideEvent()
		if complete > 0 {
			if !reported {
				reported = true
				x.reportFirstPart(resp)
			}
			if werr := x.writeEvents(resp, flush, buf.Bytes()[:held+complete]); werr != nil {
				resp.Abort()
				x.post(decider.CallerDisconnected{Number: x.number})
				panic(http.ErrAbortHandler)
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
	resp.Release()
	if !reported {
		x.reportFirstPart(resp)
	}
	if !x.headerSent {
		x.writeHeader(resp)
	}
	x.post(decider.AttemptDone{Number: x.number, Status: resp.Status, Body: x.received})
	return nil
}

// writeEvents writes events to the caller and records the ID of the last one.
func (x *exchange) writeEvents(resp *forwarder.Response, flush *http.ResponseController, events []byte) error {
	if !x.headerSent {
		x.writeHeader(resp)
	}
	if id := lastEventID(events); id != "" {
		x.lastEvent = id
	}
	if _, err := x.w.Write(events); err != nil {
		return err
	}
	return flush.Flush()
}

var idField = []byte("id:")

// lastEventID returns the ID of the last event that has one, or "".
func lastEventID(events []byte) string {
	rest := events
	for len(rest) > 0 {
		line := rest
		at := bytes.LastIndexAny(rest, "\r\n")
		if at >= 0 {
			line, rest = rest[at+1:], rest[:at]
		} else {
			rest = nil
		}
		if id, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}
