package specifier

import (
	"encoding"
	"time"
)

var (
	_ encoding.TextMarshaler   = Duration{}
	_ encoding.TextUnmarshaler = (*Duration)(nil)
)

// Duration is a time.Duration that is encoded in JSON as text such as "150ms".
type Duration struct{ time.Duration }

// MarshalText encodes d as text.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText decodes text such as "150ms" into d.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	d.Duration = parsed
	return nil
}
