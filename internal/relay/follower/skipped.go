package follower

import (
	"maps"
	"sync"

	"github.com/cockroachdb/errors"
)

// maxSkippedLines bounds the log lines for the entries of one answer that are skipped.
const maxSkippedLines = 8

// skippedEntries counts the entries that couldn't be decoded, by kind of object. The zero skippedEntries is
// ready to use.
type skippedEntries struct {
	mu     sync.Mutex
	byKind map[string]int64
}

func (s *skippedEntries) count(kind string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byKind == nil {
		s.byKind = map[string]int64{}
	}
	s.byKind[kind] += int64(n)
}

// SkippedEntries returns how many entries couldn't be decoded, by kind of object.
func (f *Follower) SkippedEntries() map[string]int64 {
	f.skipped.mu.Lock()
	defer f.skipped.mu.Unlock()
	return maps.Clone(f.skipped.byKind)
}

// skipEntry logs and counts the entry with a name, which couldn't be decoded.
func (w *watch) skipEntry(name string, err error) {
	w.skipEntries([]error{errors.Wrapf(err, "name %q", name)})
}

// skipEntries logs and counts entries that couldn't be decoded.
func (w *watch) skipEntries(reasons []error) {
	if len(reasons) == 0 {
		return
	}
	w.skipped.count(w.kind, len(reasons))
	for _, err := range reasons[:min(len(reasons), maxSkippedLines)] {
		w.cfg.Logger.Warn("entry skipped, it can't be decoded", "kind", w.kind, "of", len(reasons), "error", err.Error())
	}
}
