package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the file record.txt of a case. It is safe for concurrent use.
type record struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file}, nil
}

// write adds a line: the time since the start in seconds, who, what, and pairs of names and values.
func (r *record) write(who, what string, fields ...any) {
	var b strings.Builder
	fmt.Fprintf(&b, "%8.3f %s %s", time.Since(r.start).Seconds(), who, what)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&b, " %v=%v", fields[i], fields[i+1])
	}
	b.WriteByte('\n')
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.WriteString(b.String()) // The verdict doesn't depend on the file.
}

func (r *record) close() { _ = r.file.Close() } // Nothing more is written.
