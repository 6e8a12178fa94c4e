package decoder

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

type inner struct {
	Size  int       `json:"size"`
	Since time.Time `json:"since"`
}

func (i *inner) SetDefaults() { i.Size = 7 }

type outer struct {
	inner
	Name    string           `json:"name"`
	Entries map[string]inner `json:"entries"`
	Links   []inner          `json:"links"`
	Option  *inner           `json:"option"`
}

func decodeText(text string) (outer, error) {
	var v outer
	err := Decode(Config{Name: "f.json", MaxBytes: 200}, strings.NewReader(text), &v)
	return v, err
}

func TestDecodeFillsDefaultsAtEachLevel(t *testing.T) {
	v, err := decodeText(`{"name":"n","size":1,"entries":{"a":{},"b":{"size":2}},"links":[{}],"option":{}}`)
	assert.NilError(t, err)
	assert.Equal(t, v.Size, 1)
	assert.Equal(t, v.Entries["a"].Size, 7)
	assert.Equal(t, v.Entries["b"].Size, 2)
	assert.Equal(t, v.Links[0].Size, 7)
	assert.Equal(t, v.Option.Size, 7)
}

func TestDecodeReportsKeyAndReason(t *testing.T) {
	cases := []struct{ name, input, want string }{
		{"unknown key", `{"entries":{"a":{"sizes":1}}}`, `f.json: entries.a.sizes: is an unknown key, want one of since, size`},
		{"case of a key", `{"Name":"x"}`, `f.json: Name: is an unknown key, want one of entries, links, name, option, since, size`},
		{"repeated key", `{"entries":{"a":{},"a":{}}}`, `f.json: entries.a: is given more than once`},
		{"wrong type", `{"links":[{},{"size":"x"}]}`, `f.json: links[1].size: is "x", want a whole number`},
		{"fraction", `{"size":1.5}`, `f.json: size: is 1.5, want a whole number`},
		{"null", `{"name":null}`, `f.json: name: is null, want text`},
		{"text decoder", `{"since":"monday"}`, `f.json: since: is "monday": parsing time`},
		{"not an object", `{"entries":[]}`, `f.json: entries: is [], want an object`},
		{"not a list", `{"links":{}}`, `f.json: links: is {}, want a list`},
		{"trailing data", "{}\n{}", `f.json: has data after the JSON value, at line 2`},
		{"syntax", "{\n\"name\":,}", `f.json: is not valid JSON near line 2`},
		{"empty", ``, `f.json: is not valid JSON near line 1: EOF`},
		{"too long", `{"name":"` + strings.Repeat("x", 200) + `"}`, `f.json: has more than 200 bytes, the limit`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := decodeText(c.input)
			var decodeErr *Error
			assert.Assert(t, errors.As(err, &decodeErr))
			assert.Equal(t, decodeErr.Kind, KindInvalid)
			assert.Equal(t, len(decodeErr.Problems), 1)
			assert.Assert(t, strings.HasPrefix(decodeErr.Problems.Error(), c.want), decodeErr.Problems.Error())
		})
	}
}

func TestDecodeReportsAllProblems(t *testing.T) {
	_, err := decodeText(`{"size":"x","nam":"y","entries":{"a":1}}`)
	var decodeErr *Error
	assert.Assert(t, errors.As(err, &decodeErr))
	assert.Equal(t, len(decodeErr.Problems), 3)
}
