// Package failer provides the shared part of every package's error type: the
// operation that failed, the kind of failure and the cause.
package failer

import "fmt"

// Detail describes one failure. Each package embeds Detail in its own Error
// type with its own Kind, so that callers can switch on the kind after
// errors.As.
type Detail[K ~string] struct {
	// Op names the operation that failed, such as "put object".
	Op string
	// Kind classifies the failure for callers.
	Kind K
	// Err is the cause and may be nil.
	Err error
}

// Error returns the operation, the kind and the cause as one line.
func (d Detail[K]) Error() string {
	if d.Err == nil {
		return fmt.Sprintf("%s: %s", d.Op, d.Kind)
	}
	return fmt.Sprintf("%s: %s: %v", d.Op, d.Kind, d.Err)
}

// Unwrap returns the cause.
func (d Detail[K]) Unwrap() error { return d.Err }
