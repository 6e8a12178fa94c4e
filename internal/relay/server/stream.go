package server

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"cardamomscale.example/cardamomscale/internal/relay/decider"
	"cardamomscale.example/cardamomscale/internal/relay/forwarder"
)

// streamBufferSize is the size of the reads from a stream: many events.
const streamBufferSize = 4 << 10

// maxEventSize bounds one event of a stream.
const maxEventSize = 1 << 20

// forwardStream passes events on as they come. Of a repeatable stream it passes on whole
// events only, so that another target can go on behind the last one.
func (x *exchange) forwardStream(ctx context.Context, reply *forwarder.Response, send decider.Send) *decider.AttemptFailed {
	flush := http.NewResponseController(x.w)
	buf := make([]byte, 0, streamBufferSize)
	begun := false
	for {
		if len(buf) == cap(buf) {
			if cap(buf) >= maxEventSize {
				reply.Abort()
				return x.readFailed(ctx, errTooLong)
			}
			buf = append(make([]byte, 0, 2*cap(buf)), buf...)
		}
		n, err := reply.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		ready := len(buf)
		if send.Repeatable && !errors.Is(err, io.EOF) {
			ready = completeEvents(buf)
		}
		if ready > 0 {
			if !begun {
				begun = true
				x.reportFirstPart(reply)
			}
			if werr := x.writeEvents(reply, flush, buf[:ready]); werr != nil {
				reply.Abort()
				x.post(decider.CallerLeft{Number: x.number})
				panic(http.ErrAbortHandler)
			}
			buf = buf[:copy(buf, buf[ready:])]
		}
		if errors.Is(err, io.EOF) {
			return x.finishStream(reply, begun)
		}
		if err != nil {
			reply.Abort()
			return x.readFailed(ctx, err)
		}
	}
}

// finishStream finishes a stream that its target ended.
func (x *exchange) finishStream(reply *forwarder.Response, begun bool) *decider.AttemptFailed {
	reply.Release()
	if !begun {
		x.reportFirstPart(reply)
	}
	if !x.headerSent {
		x.writeHeader(reply)
	}
	x.post(decider.AttemptDone{Number: x.number, Status: reply.Status})
	return nil
}

func (x *exchange) writeEvents(reply *forwarder.Response, flush *http.ResponseController, events []byte) error {
	if !x.headerSent {
		x.writeHeader(reply)
	}
	if id := lastEventID(events); id != "" {
		x.lastEvent = id
	}
	if _, err := x.w.Write(events); err != nil {
		return err
	}
	return flush.Flush()
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// completeEvents returns the length of the whole events at the start of buf.
func completeEvents(buf []byte) int {
	at := bytes.LastIndex(buf, eventEnd)
	if at < 0 {
		return 0
	}
	return at + len(eventEnd)
}

// lastEventID returns the ID of the last event in events that has one, or "".
func lastEventID(events []byte) string {
	rest := events
	for len(rest) > 0 {
		line := rest
		at := bytes.LastIndexByte(rest, '\n')
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
