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

// streamBuffer is the size of the reads from a stream: many events.
const streamBuffer = 4 << 10

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

// stream passes events on as they come. Of a repeatable stream it passes on whole
// events only, so that another target can go on behind the last one.
func (x *exchange) stream(ctx context.Context, reply *forwarder.Reply, send decider.Send) *decider.AttemptFailed {
	flush := http.NewResponseController(x.w)
	buf := make([]byte, 0, streamBuffer)
	begun := false
	for {
		if len(buf) == cap(buf) {
			if cap(buf) >= maxEvent {
				reply.Abort()
				return x.cut(ctx, errLong)
			}
			buf = append(make([]byte, 0, 2*cap(buf)), buf...)
		}
		n, err := reply.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		ready := len(buf)
		if send.Repeatable && !errors.Is(err, io.EOF) {
			ready = wholeEvents(buf)
		}
		if ready > 0 {
			if !begun {
				begun = true
				x.reportBegun(reply)
			}
			if werr := x.passEvents(reply, flush, buf[:ready]); werr != nil {
				reply.Abort()
				x.post(decider.CallerLeft{Number: x.number})
				panic(http.ErrAbortHandler)
			}
			buf = buf[:copy(buf, buf[ready:])]
		}
		if errors.Is(err, io.EOF) {
			return x.ended(reply, begun)
		}
		if err != nil {
			reply.Abort()
			return x.cut(ctx, err)
		}
	}
}

// ended finishes a stream that its target ended.
func (x *exchange) ended(reply *forwarder.Reply, begun bool) *decider.AttemptFailed {
	reply.Finish()
	if !begun {
		x.reportBegun(reply)
	}
	if !x.headed {
		x.head(reply)
	}
	x.post(decider.AttemptDone{Number: x.number, Status: reply.Status})
	return nil
}

func (x *exchange) passEvents(reply *forwarder.Reply, flush *http.ResponseController, events []byte) error {
	if !x.headed {
		x.head(reply)
	}
	if id := lastID(events); id != "" {
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

// wholeEvents returns the length of the whole events at the start of buf.
func wholeEvents(buf []byte) int {
	at := bytes.LastIndex(buf, eventEnd)
	if at < 0 {
		return 0
	}
	return at + len(eventEnd)
}

// lastID returns the ID of the last event in events that has one, or "".
func lastID(events []byte) string {
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
