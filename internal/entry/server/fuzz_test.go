package server

import (
	"encoding/json"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// FuzzDecodeCompletion checks that a body is either rejected with KindInvalid or
// decoded into a valid request, which is the same after encoding and decoding again.
func FuzzDecodeCompletion(f *testing.F) {
	for _, seed := range []string{
		``, `{}`, `null`, `[]`, `{"model":"m","prompt":"p"}`, `{"model":"m","prompt":"p"}{}`,
		`{"model":"m","prompt":"p","max-tokens":-1}`, `{"model":"m","prompt":"p","max-tokens":9223372036854775808}`,
		`{"model":"m","prompt":"p","max-tokens":3,"stream":true,"adapter":"a","service":"s"}`,
		`{"model":"m","prompt":"\ud800"}`, `{"MODEL":"m","Prompt":"p"}`, `{"model":"m","model":"","prompt":"p"}`, "\xff{\"model\"",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		body, err := DecodeCompletion(raw)
		if err != nil {
			var own *Error
			assert.Assert(t, errors.As(err, &own) && own.Kind == KindInvalid, "%v", err)
			return
		}
		assert.Assert(t, body.Model != "" && body.Prompt != "" && body.MaxTokens > 0, "%+v", body)
		again, err := json.Marshal(body)
		assert.NilError(t, err)
		second, err := DecodeCompletion(again)
		assert.NilError(t, err)
		assert.Equal(t, second, body)
	})
}
