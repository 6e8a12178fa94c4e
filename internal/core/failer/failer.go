// Package failer provides the common part of the packages' error types: the
// failed operation, the kind of failure and the cause.
package failer

import "fmt"

// Detail describes one failure. Packages embed it in their own Error type with
// their own Kind, so that callers can switch on the kind after errors.As.
type Detail[K ~string] struct {
	// Op names the operation that failed, such as "put object".
	Op string
	// Kind classifies the failure.
	Kind K
	// Err is the cause, if any.
	Err error
}

// Error formats the failure as "operation: kind: cause".
func (d Detail[K]) Error() string {
	if d.Err == nil {
		return fmt.Sprintf("%s: %s", d.Op, d.Kind)
	}
	return fmt.Sprintf("%s: %s: %v", d.Op, d.Kind, d.Err)
}

// Unwrap returns the cause.
func (d Detail[K]) Unwrap() error { return d.Err }
