package splitter

import (
	"bytes"
	"encoding/json"
)

const (
	// maxSalvageAttempts bounds the objects in damaged text that are tried and aren't entries, and
	// maxSalvageBytes the text that is read for them.
	maxSalvageAttempts = 10_000
	maxSalvageBytes    = 64 << 20
)

// Salvage finds the entries in text that Fields or Elements can't split, as one entry in it breaks off or has too many
// brackets. It returns the objects for which isEntry returns true, in their order, and the rest of the text. Both
// are parts of raw or copies of such. Of an object that is an entry, the objects in it are not tried.
func Salvage(raw []byte, isEntry func(object json.RawMessage) bool) (entries []json.RawMessage, rest []byte) {
	attempts, read := 0, 0
	for attempts < maxSalvageAttempts && read < maxSalvageBytes {
		next := bytes.IndexByte(raw, '{')
		if next < 0 {
			break
		}
		rest = append(rest, raw[:next]...)
		raw = raw[next:]
		end := objectEnd(raw)
		if object := raw[:max(end, 0)]; end > 0 && json.Valid(object) && isEntry(object) {
			entries = append(entries, object)
			raw = raw[end:]
			continue
		}
		attempts++
		if read += end; end < 0 {
			read += len(raw)
		}
		rest = append(rest, raw[0])
		raw = raw[1:]
	}
	return entries, append(rest, raw...)
}

// objectEnd returns the index after the bracket that ends the object at the start of raw, or -1.
func objectEnd(raw []byte) int {
	c := cursor{raw: raw}
	depth := 0
	for ; c.at < len(raw); c.at++ {
		switch raw[c.at] {
		case '"':
			c.skipString()
		case '{', '[':
			depth++
		case '}', ']':
			if depth--; depth == 0 {
				return c.at + 1
			}
		}
	}
	return -1
}
