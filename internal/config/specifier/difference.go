package specifier

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"cardamomscale.example/cardamomscale/internal/config/decoder"
)

// Difference is a value that differs between two configurations.
type Difference struct {
	// Key is the dotted path of the value.
	Key string `json:"key"`
	// Before and After are the values in JSON; empty if absent.
	Before string `json:"before"`
	After  string `json:"after"`
}

// Diff returns the differences between a and b, ordered by key. An entry that
// only one of them has is a single Difference.
func Diff(a, b Fleet) []Difference {
	return diffValues("", encodeFleet(a), encodeFleet(b))
}

// encodeFleet returns f in JSON. Encoding fails only for numbers that are not
// finite, which validation rejects.
func encodeFleet(f Fleet) json.RawMessage {
	text, err := json.Marshal(f)
	if err != nil {
		return json.RawMessage("{}")
	}
	return text
}

// diffValues compares two JSON values at key, and objects member by member.
func diffValues(key string, a, b json.RawMessage) []Difference {
	if bytes.Equal(a, b) {
		return nil
	}
	before, isObject := parseMembers(a)
	after, bothObjects := parseMembers(b)
	if !isObject || !bothObjects {
		return []Difference{{Key: key, Before: string(a), After: string(b)}}
	}
	names := maps.Clone(before)
	maps.Copy(names, after)
	var result []Difference
	for _, name := range slices.Sorted(maps.Keys(names)) {
		result = append(result, diffValues(decoder.JoinKey(key, name), before[name], after[name])...)
	}
	return result
}

// parseMembers returns the members of a JSON object, or false for other values.
// It treats null as an empty object.
func parseMembers(raw json.RawMessage) (map[string]json.RawMessage, bool) {
	if string(raw) == "null" {
		return map[string]json.RawMessage{}, true
	}
	var result map[string]json.RawMessage
	if len(raw) == 0 || json.Unmarshal(raw, &result) != nil {
		return nil, false
	}
	return result, true
}
