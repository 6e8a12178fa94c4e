package specifier

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"cardamomscale.example/cardamomscale/internal/config/decoder"
	"cardamomscale.example/cardamomscale/internal/core/splitter"
)

// Draft is a Fleet that isn't in force yet, with what can be decoded even if other parts can't.
type Draft struct {
	Fleet    Fleet
	Problems decoder.Problems
	Index    *splitter.Index
	// incomplete holds the sections of which entries are missing.
	incomplete map[string]bool
}

// Complete reports whether all entries of a section, such as "targets", were decoded.
func (d *Draft) Complete(section string) bool { return !d.incomplete[section] }

// sections are the keys of a Fleet.
var sections = []string{"profiles", "services", "teams", "models", "data-centres", "hosts", "targets", "stores"}

// IsFleet reports whether text, which may be malformed, has the form of a Fleet: a section that no other format has, or
// nothing but services by name.
func IsFleet(text []byte) bool {
	fields, _ := splitter.ReadableFields(text) // The fields before a break are enough.
	for _, section := range sections {
		if _, ok := fields[section]; ok && section != "services" {
			return true
		}
	}
	return len(fields) == 1 && bytes.HasPrefix(fields["services"], []byte("{"))
}

// DecodeDraft decodes a Fleet as Decode does, or else what can be read of it. Problems that depend on what can't be read
// are left out. ok is false if no part can be read.
func DecodeDraft(name string, text []byte) (draft Draft, ok bool) {
	fields, err := splitter.ReadableFields(text)
	if err != nil && len(fields) == 0 {
		return Draft{}, false
	}
	d := Draft{Index: splitter.Locate(text), incomplete: map[string]bool{}, Fleet: DefaultFleet()}
	r := &decoder.Reporter{File: name}
	if len(text) > MaxDocumentBytes {
		r.Reportf("", "has %d bytes, want at most %d", len(text), MaxDocumentBytes)
		for _, section := range sections {
			d.incomplete[section] = true
		}
		d.Problems = r.Problems
		return d, true
	}
	if !json.Valid(text) {
		text = d.readable(r, fields, err != nil)
	}
	cfg := decoder.Config{Name: name, MaxBytes: 2 * MaxDocumentBytes}
	found, decodeErr := decodeInto(cfg, bytes.NewReader(text), &d.Fleet)
	if decodeErr != nil {
		return Draft{}, false
	}
	d.findIncomplete(found)
	d.Problems = append(r.Problems, found.Merge(d.independent(found, d.Fleet.problems(name, d.plurals())))...)
	return d, true
}

// readable returns JSON with the entries of malformed text that can be read, and reports the others.
func (d *Draft) readable(r *decoder.Reporter, fields map[string]json.RawMessage, broken bool) []byte {
	if broken {
		r.Reportf("", "isn't a JSON object from line %d on", max(1, d.Index.Broken()))
	}
	for _, p := range d.Index.Repeated() {
		r.Reportf(p.Key, "is given more than once")
	}
	result := map[string]json.RawMessage{}
	for _, section := range slices.Sorted(maps.Keys(fields)) {
		if json.Valid(fields[section]) {
			result[section] = fields[section]
			continue
		}
		entries, err := splitter.ReadableFields(fields[section])
		if err != nil {
			d.incomplete[section] = true
		}
		if err != nil && !broken {
			r.Reportf(section, "can't be read as JSON")
		}
		for _, name := range slices.Sorted(maps.Keys(entries)) {
			if !json.Valid(entries[name]) {
				r.Reportf(decoder.JoinKey(section, name), "can't be read as JSON")
				d.incomplete[section] = true
				delete(entries, name)
			}
		}
		result[section], _ = json.Marshal(entries) // All entries are valid JSON.
	}
	for _, section := range sections {
		if _, ok := fields[section]; !ok && broken {
			d.incomplete[section] = true
		}
	}
	text, _ := json.Marshal(result) // All fields are valid JSON.
	return text
}

// findIncomplete marks the sections with a problem of their own. An entry with a problem has defaults and counts as there.
func (d *Draft) findIncomplete(found decoder.Problems) {
	for _, p := range found {
		if slices.Contains(sections, p.Key) {
			d.incomplete[p.Key] = true
		}
	}
}

// plurals returns the incomplete sections as checkReference names them.
func (d *Draft) plurals() map[string]bool {
	result := map[string]bool{}
	for section := range d.incomplete {
		result[strings.ReplaceAll(section, "-", " ")] = true
	}
	return result
}

// independent returns the problems that are not inside a value which can't be decoded.
func (d *Draft) independent(found, problems decoder.Problems) decoder.Problems {
	unread := map[string]bool{}
	for _, p := range found {
		unread[p.Key] = true
	}
	for _, p := range d.Index.Repeated() {
		delete(unread, p.Key)
	}
	return slices.DeleteFunc(problems, func(p decoder.Problem) bool {
		for key := p.Key; key != ""; key = key[:max(0, strings.LastIndexAny(key, ".["))] {
			if unread[key] {
				return true
			}
		}
		return unread[""]
	})
}
