package decoder

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Reporter collects the problems found in one file.
type Reporter struct {
	// File is the file name given in each problem.
	File string
	// Problems holds the problems reported so far.
	Problems Problems
}

// Reportf adds a problem with the value at key.
func (r *Reporter) Reportf(key, format string, args ...any) {
	p := Problem{File: r.File, Key: key, Message: fmt.Sprintf(format, args...)}
	r.Problems = append(r.Problems, p)
}

// CheckRange reports the value at key if it is outside low and high, or NaN.
func CheckRange[T cmp.Ordered](r *Reporter, key string, value, low, high T) {
	inside := value >= low && value <= high
	if !inside {
		r.Reportf(key, "is %v, want %v to %v", value, low, high)
	}
}

// CheckOneOf reports the value at key if it is not one of allowed.
func CheckOneOf[T ~string](r *Reporter, key string, value T, allowed []T) {
	if !slices.Contains(allowed, value) {
		r.Reportf(key, "is %q, want one of %s", value, JoinValues(allowed))
	}
}

// maxJoinedValues bounds the values in one message, as many messages may list the values of a large file.
const maxJoinedValues = 100

// JoinValues returns values as a comma-separated list for messages. It leaves out those after the first 100.
func JoinValues[T ~string](values []T) string {
	if len(values) == 0 {
		return "(none)"
	}
	shown := values[:min(len(values), maxJoinedValues)]
	texts := make([]string, 0, len(shown)+1)
	for _, value := range shown {
		texts = append(texts, string(value))
	}
	if more := len(values) - len(shown); more > 0 {
		texts = append(texts, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(texts, ", ")
}
