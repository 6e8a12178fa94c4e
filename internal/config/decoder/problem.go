package decoder

import (
	"fmt"
	"strings"

	"cardamomscale.example/cardamomscale/internal/core/failer"
)

// Kind classifies failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindUnreadable reports that the input could not be read.
	KindUnreadable Kind = "unreadable"
	// KindInvalid reports input that is not what its type asks for.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error struct {
	failer.Detail[Kind]
	// Problems lists everything that is wrong with the input.
	Problems Problems
}

// Problem is one fault of an input.
type Problem struct {
	// File names the input.
	File string `json:"file"`
	// Key is the dotted path of the faulty value; empty means the whole input.
	Key string `json:"key"`
	// Message says what is wrong and what is allowed.
	Message string `json:"message"`
}

// String returns p as "file: key: message".
func (p Problem) String() string {
	if p.Key == "" {
		return fmt.Sprintf("%s: %s", p.File, p.Message)
	}
	return fmt.Sprintf("%s: %s: %s", p.File, p.Key, p.Message)
}

// Problems collects the faults of one input.
type Problems []Problem

// Error returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, 0, len(ps))
	for _, p := range ps {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Merge returns ps followed by those of others whose keys ps does not name yet.
func (ps Problems) Merge(others Problems) Problems {
	merged := ps
	for _, other := range others {
		if !ps.names(other.Key) {
			merged = append(merged, other)
		}
	}
	return merged
}

// names reports whether ps has a problem with key or a value inside of it.
func (ps Problems) names(key string) bool {
	for _, p := range ps {
		if p.Key == key || strings.HasPrefix(p.Key, key+".") || strings.HasPrefix(p.Key, key+"[") {
			return true
		}
	}
	return false
}

// Join returns the path of the member name of the value at key.
func Join(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

// Index returns the path of element i of the list at key.
func Index(key string, i int) string { return fmt.Sprintf("%s[%d]", key, i) }
