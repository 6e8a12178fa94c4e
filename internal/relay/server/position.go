package server

import (
	"bytes"
	"errors"
	"mime"
	"net/http"
	"strconv"

	"cardamomscale.example/cardamomscale/internal/relay/forwarder"
)

// errNoContinuation reports an answer that doesn't continue the stream of which the caller has a part.
var errNoContinuation = errors.New("the answer doesn't continue the stream")

// position is how far the caller has received a stream. The IDs of its events rise by a fixed step.
type position struct {
	// id is the ID of the last event that has one, or "" before the first.
	id string
	// number is the value of id, and valid is true if it is a number.
	number int64
	valid  bool
	// events counts the events with an ID.
	events int
	// step is the difference of the last two IDs, or 0 before the second.
	step int64
}

// advance moves the position past complete events. It looks at the lines with IDs only, as a target may send
// events without end.
func (p *position) advance(events []byte) {
	for at := 0; ; {
		next := bytes.Index(events[at:], idField)
		if next < 0 {
			return
		}
		at += next
		if at == 0 || events[at-1] == '\n' || events[at-1] == '\r' {
			id, _ := idOf(firstLine(events[at:]))
			p.move(id)
		}
		at += len(idField)
	}
}

// move moves the position to the event with an ID.
func (p *position) move(id string) {
	before := *p
	p.id = id
	p.events++
	n, err := strconv.ParseInt(id, 10, 64)
	p.number, p.valid = n, err == nil
	if before.valid && p.valid {
		p.step = p.number - before.number
	}
}

// next returns the ID of the event after the position, or false if it can't be known.
func (p *position) next() (int64, bool) {
	step := p.step
	if step == 0 {
		step = 1
	}
	return p.number + step, p.valid && step > 0
}

// isContinued reports whether complete events continue the stream: the first one has the next ID. It is
// undecided if there are only comments.
func (p *position) isContinued(events []byte) (continued, decided bool) {
	want, known := p.next()
	inEvent := false
	for line := range lines(events) {
		switch id, ok := idOf(line); {
		case ok:
			n, err := strconv.ParseInt(id, 10, 64)
			return known && err == nil && n == want, true
		case len(line) == 0 && inEvent:
			return false, true // The first event has no ID.
		case len(line) > 0 && line[0] != ':':
			inEvent = true
		}
	}
	return false, inEvent
}

// mayContinue reports whether the head of a response is like that of the stream which it is to continue.
func (x *exchange) mayContinue(resp *forwarder.Response) bool {
	return resp.Status == x.status && mediaType(resp.Header) == mediaType(x.w.Header())
}

// mediaType returns the type of a body without its parameters, or "" if there is none that is valid.
func mediaType(h http.Header) string {
	name, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	if err != nil {
		return ""
	}
	return name
}

var idField = []byte("id:")

// lineEnds are the characters that end a line, alone or together.
const lineEnds = "\r\n"

// idOf returns the ID that a line sets, or false.
func idOf(line []byte) (string, bool) {
	id, ok := bytes.CutPrefix(line, idField)
	return string(bytes.TrimSpace(id)), ok
}

// firstLine returns the first line of some events without its end.
func firstLine(events []byte) []byte {
	if end := bytes.IndexAny(events, lineEnds); end >= 0 {
		return events[:end]
	}
	return events
}

// lines returns the lines of complete events without their ends, which are LF, CR or both.
func lines(events []byte) func(yield func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for len(events) > 0 {
			line := firstLine(events)
			events = events[len(line):]
			if bytes.HasPrefix(events, []byte("\r\n")) {
				events = events[1:]
			}
			if len(events) > 0 {
				events = events[1:]
			}
			if !yield(line) {
				return
			}
		}
	}
}
