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
	// KindInvalid reports input that does not match the type it is decoded into.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error struct {
	failer.Detail[Kind]
	// Problems lists everything that is wrong with the input.
	Problems Problems
}

// Problem is one error in an input.
type Problem struct {
	// File is the name of the input.
	File string `json:"file"`
	// Key is the dotted path of the invalid value; empty means the whole input.
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

// Problems lists the errors in one input.
type Problems []Problem

// Error returns the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, 0, len(ps))
	for _, p := range ps {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Merge returns ps followed by those of others whose keys have no problem in ps.
func (ps Problems) Merge(others Problems) Problems {
	merged := ps
	for _, other := range others {
		if !ps.hasProblemAt(other.Key) {
			merged = append(merged, other)
		}
	}
	return merged
}

// hasProblemAt reports whether ps has a problem with key or a value below it.
func (ps Problems) hasProblemAt(key string) bool {
	for _, p := range ps {
		if p.Key == key || strings.HasPrefix(p.Key, key+".") || strings.HasPrefix(p.Key, key+"[") {
			return true
		}
	}
	return false
}

// JoinKey returns the path of the member called name in the object at key.
func JoinKey(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

// IndexKey returns the path of element i in the list at key.
func IndexKey(key string, i int) string { return fmt.Sprintf("%s[%d]", key, i) }
