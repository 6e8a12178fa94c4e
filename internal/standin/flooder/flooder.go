// Package flooder is a stand-in for targets and stores that send bytes without end.
package flooder

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Flood is an HTTP handler that sends bytes in place of an answer until its connection is closed.
type Flood struct {
	// Begin is sent once, with the request's ID in place of ID.
	Begin string
	// Repeat is sent again and again, with Pause in between.
	Repeat string
	Pause  time.Duration

	open atomic.Int64
}

// Open returns the number of connections on which the flood goes on.
func (f *Flood) Open() int { return int(f.open.Load()) }

// floodWriteSize is the least size of a write without pauses, in bytes.
const floodWriteSize = 16 << 10

// ServeHTTP sends the flood.
func (f *Flood) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // The server doesn't support it.
	}
	f.open.Add(1)
	defer f.open.Add(-1)
	defer func() { _ = conn.Close() }()
	repeat := []byte(f.Repeat)
	if f.Pause == 0 {
		repeat = bytes.Repeat(repeat, floodWriteSize/len(repeat)+1)
	}
	_, err = io.WriteString(conn, strings.ReplaceAll(f.Begin, "ID", r.Header.Get("Request-Id")))
	for err == nil {
		time.Sleep(f.Pause)
		_, err = conn.Write(repeat)
	}
}
