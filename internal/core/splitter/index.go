package splitter

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
)

const (
	// maxPositions, maxIndexedName and maxIndexedDepth bound the memory of an Index, whose text may come from anyone.
	maxPositions    = 1 << 18
	maxIndexedName  = 256
	maxIndexedDepth = 8
)

// Position is the key of a value, such as routes[2].name, and the line on which it begins.
type Position struct {
	Key  string
	Line int
}

// Index holds the lines of the values in JSON text by their keys. Parts of the text may be malformed.
type Index struct {
	lines    map[string]int
	repeated []Position
	// broken is the line after which the text can't be read; 0 if it can.
	broken int
}

// Locate returns the index of raw. Values that nest deeper than 8 levels, or whose names are longer than 256 bytes, are
// left out, and so are those after the first 262,144.
func Locate(raw []byte) *Index {
	l := locator{raw: raw, line: 1, index: &Index{lines: map[string]int{}}}
	if !l.walk("", raw, 0, 0) {
		l.index.broken = 1 + bytes.Count(raw[:min(l.end, len(raw))], []byte("\n"))
	}
	return l.index
}

// Line returns the line of the value at key, or else of the innermost value around it that has a line. It is 0 if none has.
func (x *Index) Line(key string) int {
	for key != "" {
		if line, ok := x.lines[key]; ok {
			return line
		}
		key = key[:max(0, strings.LastIndexAny(key, ".["))]
	}
	return 0
}

// Has reports whether there is a value at key.
func (x *Index) Has(key string) bool { return x.lines[key] > 0 }

// Repeated returns the keys that their object has more than once, at the line of each repetition.
func (x *Index) Repeated() []Position { return x.repeated }

// Broken returns the line after which the text can't be read, or 0.
func (x *Index) Broken() int { return x.broken }

// locator builds an Index. Its line is that of the byte at, which only increases.
type locator struct {
	raw      []byte
	at, line int
	// end is how far the outermost value could be read.
	end   int
	index *Index
}

func (l *locator) add(key string, offset int) {
	l.line += bytes.Count(l.raw[l.at:offset], []byte("\n"))
	l.at = offset
	if _, ok := l.index.lines[key]; ok {
		l.index.repeated = append(l.index.repeated, Position{Key: key, Line: l.line})
	}
	l.index.lines[key] = l.line
}

// walk adds the values in raw, which begins at the byte base of the text. It returns false if raw breaks off.
func (l *locator) walk(key string, raw []byte, base, depth int) bool {
	c := cursor{raw: raw}
	if c.skipSpaces(); depth > maxIndexedDepth || c.at >= len(raw) {
		return true
	}
	defer func() { l.end = base + c.at }()
	switch raw[c.at] {
	case '{':
		return c.entries("locate", '{', '}', func() bool { return l.member(&c, key, base, depth) }) == nil
	case '[':
		n := 0
		return c.entries("locate", '[', ']', func() bool {
			if c.skipSpaces(); c.at >= len(raw) {
				return false
			}
			ok := l.value(&c, key+"["+strconv.Itoa(n)+"]", c.at, base, depth)
			n++
			return ok
		}) == nil
	}
	return depth > 0
}

func (l *locator) member(c *cursor, key string, base, depth int) bool {
	c.skipSpaces()
	start := c.at
	raw := c.value()
	if len(raw) == 0 || !c.take(':') {
		return false
	}
	var name string
	if len(raw) > maxIndexedName || json.Unmarshal(raw, &name) != nil {
		return len(c.value()) > 0
	}
	if key != "" {
		name = key + "." + name
	}
	return l.value(c, name, start, base, depth)
}

// value adds the value at key, whose name or first byte is at start, and the values in it.
func (l *locator) value(c *cursor, key string, start, base, depth int) bool {
	if len(l.index.lines) >= maxPositions {
		return len(c.value()) > 0
	}
	l.add(key, base+start)
	c.skipSpaces()
	first := c.at
	raw := c.value()
	if len(raw) == 0 {
		// What comes before the break is located too.
		if first < len(c.raw) {
			l.walk(key, c.raw[first:], base+first, depth+1)
		}
		return false
	}
	l.walk(key, raw, base+first, depth+1)
	return true
}

// ReadableFields is like Fields, but if the text breaks off inside the value of a field, it returns that value up to the
// end of the text.
func ReadableFields(raw []byte) (map[string]json.RawMessage, error) {
	fields := map[string]json.RawMessage{}
	c := cursor{raw: raw}
	err := c.entries("split object", '{', '}', func() bool {
		name := c.value()
		if len(name) == 0 || !c.take(':') {
			return false
		}
		c.skipSpaces()
		first := c.at
		value := c.value()
		whole := len(value) > 0
		if !whole {
			value = raw[min(first, len(raw)):]
		}
		var key string
		if json.Unmarshal(name, &key) == nil && len(value) > 0 {
			fields[key] = value
		}
		return whole
	})
	return fields, err
}
