package specifier

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"cardamomscale.example/cardamomscale/internal/config/decoder"
)

// Difference is one value that differs between two fleets.
type Difference struct {
	// Key is the dotted path of the value.
	Key string `json:"key"`
	// Before and After are the values in JSON; empty means absent.
	Before string `json:"before"`
	After  string `json:"after"`
}

// Diff returns what differs from a to b, ordered by key. An entry that only
// one of them has is one Difference.
func Diff(a, b Fleet) []Difference {
	return diff("", encode(a), encode(b))
}

// encode returns f in JSON. A Fleet holds only types that JSON can encode,
// besides numbers that are not finite, which validation refuses.
func encode(f Fleet) json.RawMessage {
	text, err := json.Marshal(f)
	if err != nil {
		return json.RawMessage("{}")
	}
	return text
}

func diff(key string, a, b json.RawMessage) []Difference {
	if bytes.Equal(a, b) {
		return nil
	}
	before, isObject := members(a)
	after, bothObjects := members(b)
	if !isObject || !bothObjects {
		return []Difference{{Key: key, Before: string(a), After: string(b)}}
	}
	names := maps.Clone(before)
	maps.Copy(names, after)
	var result []Difference
	for _, name := range slices.Sorted(maps.Keys(names)) {
		result = append(result, diff(decoder.Join(key, name), before[name], after[name])...)
	}
	return result
}

// members returns the members of a JSON object; null is one without members.
func members(raw json.RawMessage) (map[string]json.RawMessage, bool) {
	if string(raw) == "null" {
		return map[string]json.RawMessage{}, true
	}
	var result map[string]json.RawMessage
	if len(raw) == 0 || json.Unmarshal(raw, &result) != nil {
		return nil, false
	}
	return result, true
}
