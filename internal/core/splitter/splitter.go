// Package splitter splits JSON text into its entries without decoding them, so that an entry which can't be
// decoded doesn't spoil the others.
package splitter

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/core/failer"
)

// Kind classifies the errors of this package.
type Kind string

// KindMalformed reports text that doesn't have the form of an object or array.
const KindMalformed Kind = "malformed"

// Error is the type of all errors of this package.
type Error struct{ failer.Detail[Kind] }

func malformed(op string, at int) error {
	return &Error{failer.Detail[Kind]{Op: op, Kind: KindMalformed, Err: errors.Newf("unexpected text or end at byte %d", at)}}
}

// Fields returns the values of an object's fields. They are parts of raw, may be invalid by themselves, and
// nest to any depth. Fields whose names can't be decoded are left out. An Error reports text that is no object.
func Fields(raw []byte) (map[string]json.RawMessage, error) {
	const op = "split object"
	fields := map[string]json.RawMessage{}
	c := cursor{raw: raw}
	err := c.entries(op, '{', '}', func() bool {
		name := c.value()
		if len(name) == 0 || !c.take(':') {
			return false
		}
		value := c.value()
		if len(value) == 0 {
			return false
		}
		var key string
		if json.Unmarshal(name, &key) == nil {
			fields[key] = value
		}
		return true
	})
	return fields, err
}

// Elements returns the elements of an array, like the values of Fields. It returns none for null and for an
// absent value.
func Elements(raw []byte) ([]json.RawMessage, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return nil, nil
	}
	const op = "split array"
	var elements []json.RawMessage
	c := cursor{raw: raw}
	err := c.entries(op, '[', ']', func() bool {
		element := c.value()
		elements = append(elements, element)
		return len(element) > 0
	})
	return elements, err
}

// cursor reads JSON text.
type cursor struct {
	raw []byte
	at  int
}

// entries reads comma-separated entries between two brackets.
func (c *cursor) entries(op string, open, end byte, entry func() bool) error {
	if !c.take(open) {
		return malformed(op, c.at)
	}
	if c.take(end) {
		return c.end(op)
	}
	for entry() {
		if c.take(end) {
			return c.end(op)
		}
		if !c.take(',') {
			break
		}
	}
	return malformed(op, c.at)
}

// end returns an error unless only spaces follow. Text that closes brackets too early goes on after the last one.
func (c *cursor) end(op string) error {
	if c.skipSpaces(); c.at < len(c.raw) {
		return malformed(op, c.at)
	}
	return nil
}

// take reads one character, after spaces, if it is the given one.
func (c *cursor) take(b byte) bool {
	c.skipSpaces()
	if c.at >= len(c.raw) || c.raw[c.at] != b {
		return false
	}
	c.at++
	return true
}

func (c *cursor) skipSpaces() {
	for c.at < len(c.raw) && isSpace(c.raw[c.at]) {
		c.at++
	}
}

func isSpace(b byte) bool { return b == ' ' || b == '\t' || b == '\n' || b == '\r' }

// value reads a value up to the character that follows it. It is empty if there is none.
func (c *cursor) value() json.RawMessage {
	c.skipSpaces()
	start, depth := c.at, 0
	for ; c.at < len(c.raw); c.at++ {
		switch b := c.raw[c.at]; {
		case b == '"':
			c.skipString()
		case b == '{' || b == '[':
			depth++
		case depth == 0 && (b == '}' || b == ']' || b == ',' || b == ':' || isSpace(b)):
			return c.raw[start:c.at]
		case b == '}' || b == ']':
			depth--
		}
	}
	if depth > 0 {
		return nil
	}
	return c.raw[start:]
}

// skipString moves to the quote that ends a string.
func (c *cursor) skipString() {
	for c.at++; c.at < len(c.raw) && c.raw[c.at] != '"'; c.at++ {
		if c.raw[c.at] == '\\' {
			c.at++
		}
	}
}
