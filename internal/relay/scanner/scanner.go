// Package scanner finds where the events of a stream (text/event-stream) end.
package scanner

// Scanner follows a stream across reads. Lines end with LF, CR or both, and an event ends with
// an empty line. Comment lines belong to no event. The zero value is at the start of a stream.
type Scanner struct{ state }

// state is the position within a stream.
type state struct {
	line line
	// open is true within an event, after its first line.
	open bool
	// afterCR is true when an LF belongs to the line end before it.
	afterCR bool
}

// line is the kind of the current line, as far as it has been read.
type line uint8

const (
	lineEmpty line = iota
	lineComment
	lineField
)

// Scan reads the next bytes of the stream. It returns the length of the part of p after which the
// stream is between events for the last time, or 0.
func (s *Scanner) Scan(p []byte) int {
	complete, st := 0, s.state
	for i, b := range p {
		st = st.next(b)
		if !st.InsideEvent() {
			complete = i + 1
		}
	}
	s.state = st
	return complete
}

// next returns the state after b.
func (s state) next(b byte) state {
	continued := s.afterCR && b == '\n'
	s.afterCR = b == '\r'
	switch {
	case continued:
	case b == '\n' || b == '\r':
		s.open = s.line == lineField || s.open && s.line == lineComment
		s.line = lineEmpty
	case s.line != lineEmpty:
	case b == ':':
		s.line = lineComment
	default:
		s.line = lineField
	}
	return s
}

// InsideEvent reports whether the stream would be truncated if it ended here.
func (s state) InsideEvent() bool { return s.open || s.line != lineEmpty }
