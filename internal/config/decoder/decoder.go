// Package decoder strictly decodes JSON settings into typed values. It fills in
// defaults and reports each rejected value with the full path of its key.
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

// Defaulter is implemented by types that have defaults for absent keys.
type Defaulter interface {
	// SetDefaults sets the value to its defaults.
	SetDefaults()
}

// Config holds the options for decoding one input.
type Config struct {
	// Name identifies the input in problems, such as a file name.
	Name string
	// MaxBytes is the maximum size of the input.
	MaxBytes int64
	// AllowUnknown skips unknown keys, so that documents written by a later
	// version of the software can be read.
	AllowUnknown bool
}

const op = "decode"

// Decode reads one JSON value from r into the value that v points to. Absent
// keys keep the defaults of a Defaulter. The error is an *Error; if its kind is
// KindInvalid, v holds everything that could be decoded.
func Decode(cfg Config, r io.Reader, v any) error {
	input, err := io.ReadAll(io.LimitReader(r, cfg.MaxBytes+1))
	if err != nil {
		return &Error{Detail: failer.Detail[Kind]{Op: op + " " + cfg.Name, Kind: KindUnreadable, Err: err}}
	}
	d := decodeState{Reporter: Reporter{File: cfg.Name}, allowUnknown: cfg.AllowUnknown}
	dst := reflect.ValueOf(v).Elem()
	setDefaults(dst)
	d.decodeInput(input, cfg.MaxBytes, dst)
	if len(d.Problems) == 0 {
		return nil
	}
	detail := failer.Detail[Kind]{Op: op + " " + cfg.Name, Kind: KindInvalid, Err: d.Problems}
	return &Error{Detail: detail, Problems: d.Problems}
}

// decodeState holds the state of one call to Decode.
type decodeState struct {
	Reporter
	allowUnknown bool
}

// decodeInput checks that input is exactly one JSON value and decodes it into dst.
func (d *decodeState) decodeInput(input []byte, maxBytes int64, dst reflect.Value) {
	if int64(len(input)) > maxBytes {
		d.Reportf("", "has more than %d bytes, the limit", maxBytes)
		return
	}
	dec := json.NewDecoder(bytes.NewReader(input))
	var raw json.RawMessage
	if err := dec.Decode(&raw); err != nil {
		d.Reportf("", "is not valid JSON near line %d: %v", errorLine(input, err, dec.InputOffset()), err)
		return
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		d.Reportf("", "has data after the JSON value, at line %d", lineAt(input, dec.InputOffset()))
		return
	}
	d.decodeValue("", raw, dst)
}

// decodeValue decodes raw into dst according to the kind of dst.
func (d *decodeState) decodeValue(key string, raw json.RawMessage, dst reflect.Value) {
	if string(raw) == "null" && dst.Kind() != reflect.Pointer {
		d.Reportf(key, "is null, want %s", describeType(dst.Type()))
		return
	}
	if _, ok := dst.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.unmarshal(key, raw, dst)
		return
	}
	switch dst.Kind() {
	case reflect.Pointer:
		d.decodePointer(key, raw, dst)
	case reflect.Struct:
		d.decodeStruct(key, raw, dst)
	case reflect.Map:
		d.decodeMap(key, raw, dst)
	case reflect.Slice:
		d.decodeSlice(key, raw, dst)
	default:
		d.unmarshal(key, raw, dst)
	}
}

// unmarshal decodes a scalar or a type with its own text encoding.
func (d *decodeState) unmarshal(key string, raw json.RawMessage, dst reflect.Value) {
	err := json.Unmarshal(raw, dst.Addr().Interface())
	if err == nil {
		return
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		d.Reportf(key, "is %s, want %s", truncate(raw), describeType(dst.Type()))
		return
	}
	d.Reportf(key, "is %s: %v", truncate(raw), err)
}

func (d *decodeState) decodePointer(key string, raw json.RawMessage, dst reflect.Value) {
	if string(raw) == "null" {
		dst.SetZero()
		return
	}
	elem := reflect.New(dst.Type().Elem())
	setDefaults(elem.Elem())
	d.decodeValue(key, raw, elem.Elem())
	dst.Set(elem)
}

func (d *decodeState) decodeStruct(key string, raw json.RawMessage, dst reflect.Value) {
	fields := map[string]reflect.Value{}
	collectFields(dst, fields)
	for _, member := range d.parseObject(key, raw, dst.Type()) {
		field, ok := fields[member.Name]
		if ok {
			d.decodeValue(JoinKey(key, member.Name), member.Value, field)
			continue
		}
		if !d.allowUnknown {
			d.Reportf(JoinKey(key, member.Name), "is an unknown key, want one of %s", joinNames(fields))
		}
	}
}

func (d *decodeState) decodeMap(key string, raw json.RawMessage, dst reflect.Value) {
	result := reflect.MakeMap(dst.Type())
	for _, member := range d.parseObject(key, raw, dst.Type()) {
		elem := reflect.New(dst.Type().Elem()).Elem()
		setDefaults(elem)
		d.decodeValue(JoinKey(key, member.Name), member.Value, elem)
		result.SetMapIndex(reflect.ValueOf(member.Name).Convert(dst.Type().Key()), elem)
	}
	dst.Set(result)
}

func (d *decodeState) decodeSlice(key string, raw json.RawMessage, dst reflect.Value) {
	var raws []json.RawMessage
	if err := json.Unmarshal(raw, &raws); err != nil {
		d.Reportf(key, "is %s, want a list", truncate(raw))
		return
	}
	result := reflect.MakeSlice(dst.Type(), len(raws), len(raws))
	for i, elem := range raws {
		setDefaults(result.Index(i))
		d.decodeValue(IndexKey(key, i), elem, result.Index(i))
	}
	dst.Set(result)
}

// parseObject returns the members of the object raw. It reports repeated names
// and keeps their first value.
func (d *decodeState) parseObject(key string, raw json.RawMessage, t reflect.Type) []Member {
	dec := json.NewDecoder(bytes.NewReader(raw))
	open, err := dec.Token()
	if err != nil || open != json.Delim('{') {
		d.Reportf(key, "is %s, want %s", truncate(raw), describeType(t))
		return nil
	}
	var result []Member
	seen := map[string]bool{}
	for dec.More() {
		m, err := readMember(dec)
		if err != nil {
			d.Reportf(key, "is not a valid object: %v", err)
			return result
		}
		if seen[m.Name] {
			d.Reportf(JoinKey(key, m.Name), "is given more than once")
			continue
		}
		seen[m.Name] = true
		result = append(result, m)
	}
	return result
}

func readMember(dec *json.Decoder) (Member, error) {
	token, err := dec.Token()
	if err != nil {
		return Member{}, err
	}
	name, ok := token.(string)
	if !ok {
		return Member{}, errors.Newf("token %v is not a member name", token)
	}
	m := Member{Name: name}
	return m, dec.Decode(&m.Value)
}

// collectFields adds the fields of the struct dst to fields, keyed by JSON name.
// The fields of embedded structs without a JSON name are added as well.
func collectFields(dst reflect.Value, fields map[string]reflect.Value) {
	for i := range dst.NumField() {
		field := dst.Type().Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		switch {
		case name == "" && field.Anonymous && field.Type.Kind() == reflect.Struct:
			collectFields(dst.Field(i), fields)
		case name != "" && name != "-":
			fields[name] = dst.Field(i)
		}
	}
}

func setDefaults(v reflect.Value) {
	if defaulter, ok := v.Addr().Interface().(Defaulter); ok {
		defaulter.SetDefaults()
	}
}

// joinNames returns the sorted names of fields for a message.
func joinNames(fields map[string]reflect.Value) string {
	result := make([]string, 0, len(fields))
	for name := range fields {
		result = append(result, name)
	}
	sort.Strings(result)
	return strings.Join(result, ", ")
}

// describeType returns the JSON type that t is decoded from, for messages.
func describeType(t reflect.Type) string {
	if reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
		return "text"
	}
	switch t.Kind() {
	case reflect.Pointer:
		return describeType(t.Elem())
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

// truncate shortens raw to maxQuotedBytes for a message.
func truncate(raw json.RawMessage) string {
	if len(raw) <= maxQuotedBytes {
		return string(raw)
	}
	return strings.ToValidUTF8(string(raw[:maxQuotedBytes]), "") + "..."
}

// errorLine returns the line of err if it is a syntax error, otherwise the line
// at offset.
func errorLine(input []byte, err error, offset int64) int {
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		offset = syntaxErr.Offset
	}
	return lineAt(input, offset)
}

// lineAt returns the 1-based number of the line at offset.
func lineAt(input []byte, offset int64) int {
	offset = min(offset, int64(len(input)))
	return 1 + bytes.Count(input[:offset], []byte("\n"))
}

// Member is a name and its value in a JSON object.
type Member struct {
	Name  string
	Value json.RawMessage
}

// Members returns the members of a valid JSON object in their original order,
// or nil if object is another kind of value.
func Members(object json.RawMessage) []Member {
	dec := json.NewDecoder(bytes.NewReader(object))
	open, err := dec.Token()
	if err != nil || open != json.Delim('{') {
		return nil
	}
	var result []Member
	for dec.More() {
		m, err := readMember(dec)
		if err != nil {
			return result
		}
		result = append(result, m)
	}
	return result
}
