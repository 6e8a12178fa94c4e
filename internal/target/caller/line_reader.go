package caller

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/core/bounder"
)

// lineReader reads lines of a response.
type lineReader struct {
	r   io.Reader
	buf *bounder.Buffer
	// used is the length of the lines in buf that next has returned.
	used int
	// err is the error that ended the reading, if any.
	err error
}

// newLineReader returns a reader of lines up to limit bytes. Call close when done.
func newLineReader(r io.Reader, budget *bounder.Budget, limit int) *lineReader {
	return &lineReader{r: r, buf: budget.NewBuffer(limit)}
}

// next returns the next line without its end, until the next call. The last one may lack the end.
func (l *lineReader) next() ([]byte, error) {
	searched := 0
	for {
		rest := l.buf.Bytes()[l.used:]
		if end := bytes.IndexByte(rest[searched:], '\n'); end >= 0 {
			end += searched
			l.used += end + 1
			return rest[:end], nil
		}
		searched = len(rest)
		if l.err != nil {
			if searched == 0 || !errors.Is(l.err, io.EOF) {
				return nil, l.err
			}
			l.used += searched
			return rest, nil
		}
		l.buf.Discard(l.used)
		l.used = 0
		_, l.err = l.buf.Fill(l.r)
	}
}

func (l *lineReader) close() { l.buf.Release() }
