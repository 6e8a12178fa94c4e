// Package decoder reads JSON settings strictly into typed values. It fills in
// defaults first and names the full path of each key that it refuses.
package decoder

import (
	"bytes"
	"encoding"
	"encoding/json"
	"io"
	"reflect"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/core/failer"
)

// Defaulter is implemented by types whose absent keys have defaults.
type Defaulter interface {
	// SetDefaults replaces the value by its defaults.
	SetDefaults()
}

// Config says how to decode one input.
type Config struct {
	// Name names the input in problems.
	Name string
	// MaxBytes bounds the size of the input.
	MaxBytes int64
	// AllowUnknown skips unknown keys, as a reader of documents of a later
	// version has to.
	AllowUnknown bool
}

const op = "decode"

// Decode reads one JSON value from r into the value that v points to. Absent
// keys keep the defaults of a Defaulter. The error is an *Error; when its kind
// is KindInvalid, v holds all that could be decoded.
func Decode(cfg Config, r io.Reader, v any) error {
	input, err := io.ReadAll(io.LimitReader(r, cfg.MaxBytes+1))
	if err != nil {
		return &Error{Detail: failer.Detail[Kind]{Op: op + " " + cfg.Name, Kind: KindUnreadable, Err: err}}
	}
	d := decoding{Reporter: Reporter{File: cfg.Name}, allowUnknown: cfg.AllowUnknown}
	target := reflect.ValueOf(v).Elem()
	setDefaults(target)
	d.whole(input, cfg.MaxBytes, target)
	if len(d.Problems) == 0 {
		return nil
	}
	detail := failer.Detail[Kind]{Op: op + " " + cfg.Name, Kind: KindInvalid, Err: d.Problems}
	return &Error{Detail: detail, Problems: d.Problems}
}

// decoding is the state of one Decode.
type decoding struct {
	Reporter
	allowUnknown bool
}

func (d *decoding) whole(input []byte, maxBytes int64, target reflect.Value) {
	if int64(len(input)) > maxBytes {
		d.Reportf("", "has more than %d bytes, the limit", maxBytes)
		return
	}
	dec := json.NewDecoder(bytes.NewReader(input))
	var raw json.RawMessage
	if err := dec.Decode(&raw); err != nil {
		d.Reportf("", "is not valid JSON near line %d: %v", lineOf(input, err, dec.InputOffset()), err)
		return
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		d.Reportf("", "has data after the JSON value, at line %d", lineAt(input, dec.InputOffset()))
		return
	}
	d.value("", raw, target)
}

// value decodes raw into target by the kind of target.
func (d *decoding) value(key string, raw json.RawMessage, target reflect.Value) {
	if string(raw) == "null" && target.Kind() != reflect.Pointer {
		d.Reportf(key, "is null, want %s", describe(target.Type()))
		return
	}
	if _, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.leaf(key, raw, target)
		return
	}
	switch target.Kind() {
	case reflect.Pointer:
		d.pointer(key, raw, target)
	case reflect.Struct:
		d.object(key, raw, target)
	case reflect.Map:
		d.entries(key, raw, target)
	case reflect.Slice:
		d.list(key, raw, target)
	default:
		d.leaf(key, raw, target)
	}
}

func (d *decoding) leaf(key string, raw json.RawMessage, target reflect.Value) {
	err := json.Unmarshal(raw, target.Addr().Interface())
	if err == nil {
		return
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		d.Reportf(key, "is %s, want %s", abridge(raw), describe(target.Type()))
		return
	}
	d.Reportf(key, "is %s: %v", abridge(raw), err)
}

func (d *decoding) pointer(key string, raw json.RawMessage, target reflect.Value) {
	if string(raw) == "null" {
		target.SetZero()
		return
	}
	elem := reflect.New(target.Type().Elem())
	setDefaults(elem.Elem())
	d.value(key, raw, elem.Elem())
	target.Set(elem)
}

func (d *decoding) object(key string, raw json.RawMessage, target reflect.Value) {
	fields := map[string]reflect.Value{}
	collectFields(target, fields)
	for _, member := range d.members(key, raw, target.Type()) {
		field, ok := fields[member.Name]
		if ok {
			d.value(Join(key, member.Name), member.Value, field)
			continue
		}
		if !d.allowUnknown {
			d.Reportf(Join(key, member.Name), "is an unknown key, want one of %s", names(fields))
		}
	}
}

func (d *decoding) entries(key string, raw json.RawMessage, target reflect.Value) {
	result := reflect.MakeMap(target.Type())
	for _, member := range d.members(key, raw, target.Type()) {
		elem := reflect.New(target.Type().Elem()).Elem()
		setDefaults(elem)
		d.value(Join(key, member.Name), member.Value, elem)
		result.SetMapIndex(reflect.ValueOf(member.Name).Convert(target.Type().Key()), elem)
	}
	target.Set(result)
}

func (d *decoding) list(key string, raw json.RawMessage, target reflect.Value) {
	var raws []json.RawMessage
	if err := json.Unmarshal(raw, &raws); err != nil {
		d.Reportf(key, "is %s, want a list", abridge(raw))
		return
	}
	result := reflect.MakeSlice(target.Type(), len(raws), len(raws))
	for i, elem := range raws {
		setDefaults(result.Index(i))
		d.value(Index(key, i), elem, result.Index(i))
	}
	target.Set(result)
}

// members returns the members of the object raw, without repeated ones.
func (d *decoding) members(key string, raw json.RawMessage, t reflect.Type) []Member {
	dec := json.NewDecoder(bytes.NewReader(raw))
	open, err := dec.Token()
	if err != nil || open != json.Delim('{') {
		d.Reportf(key, "is %s, want %s", abridge(raw), describe(t))
		return nil
	}
	var result []Member
	seen := map[string]bool{}
	for dec.More() {
		m, err := nextMember(dec)
		if err != nil {
			d.Reportf(key, "is not a valid object: %v", err)
			return result
		}
		if seen[m.Name] {
			d.Reportf(Join(key, m.Name), "is given more than once")
			continue
		}
		seen[m.Name] = true
		result = append(result, m)
	}
	return result
}

func nextMember(dec *json.Decoder) (Member, error) {
	token, err := dec.Token()
	if err != nil {
		return Member{}, err
	}
	name, ok := token.(string)
	if !ok {
		return Member{}, errors.Newf("token %v is no name", token)
	}
	m := Member{Name: name}
	return m, dec.Decode(&m.Value)
}

// collectFields adds the fields of the struct target by their JSON names.
// Embedded structs without a name add their own fields.
func collectFields(target reflect.Value, fields map[string]reflect.Value) {
	for i := range target.NumField() {
		field := target.Type().Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		switch {
		case name == "" && field.Anonymous && field.Type.Kind() == reflect.Struct:
			collectFields(target.Field(i), fields)
		case name != "" && name != "-":
			fields[name] = target.Field(i)
		}
	}
}

func setDefaults(v reflect.Value) {
	if defaulter, ok := v.Addr().Interface().(Defaulter); ok {
		defaulter.SetDefaults()
	}
}

func names(fields map[string]reflect.Value) string {
	result := make([]string, 0, len(fields))
	for name := range fields {
		result = append(result, name)
	}
	sort.Strings(result)
	return strings.Join(result, ", ")
}

// describe names the JSON type that t is read from.
func describe(t reflect.Type) string {
	if reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
		return "text"
	}
	switch t.Kind() {
	case reflect.Pointer:
		return describe(t.Elem())
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

const maxQuotedBytes = 40

// abridge returns the beginning of raw for a message.
func abridge(raw json.RawMessage) string {
	if len(raw) <= maxQuotedBytes {
		return string(raw)
	}
	return strings.ToValidUTF8(string(raw[:maxQuotedBytes]), "") + "..."
}

// lineOf returns the line of a syntax error, or the line at offset for others.
func lineOf(input []byte, err error, offset int64) int {
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		offset = syntaxErr.Offset
	}
	return lineAt(input, offset)
}

// lineAt returns the number of the line at offset, from 1.
func lineAt(input []byte, offset int64) int {
	offset = min(offset, int64(len(input)))
	return 1 + bytes.Count(input[:offset], []byte("\n"))
}

// Member is one name and value of a JSON object.
type Member struct {
	Name  string
	Value json.RawMessage
}

// Members returns the members of a valid JSON object in their order, and none
// for other values.
func Members(object json.RawMessage) []Member {
	dec := json.NewDecoder(bytes.NewReader(object))
	open, err := dec.Token()
	if err != nil || open != json.Delim('{') {
		return nil
	}
	var result []Member
	for dec.More() {
		m, err := nextMember(dec)
		if err != nil {
			return result
		}
		result = append(result, m)
	}
	return result
}
