package engine

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/zeebo/xxh3"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// tokenMask cuts a token's hash to six hexadecimal digits.
const tokenMask = 0xffffff

// Answer produces the tokens of the answer to one prompt. They depend only on
// the prompt, the model and the weight version.
type Answer struct{ seed uint64 }

// NewAnswer returns the Answer to prompt.
func NewAnswer(prompt string, model identifier.Model, version identifier.WeightVersion) Answer {
	h := xxh3.New()
	for _, part := range []string{prompt, string(model), string(version)} {
		_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = h.WriteString(part)
	}
	return Answer{seed: h.Sum64()}
}

// Token returns the token at offset, from 0.
func (a Answer) Token(offset int) string {
	var position [8]byte
	binary.LittleEndian.PutUint64(position[:], uint64(offset))
	return fmt.Sprintf(" %06x", xxh3.HashSeed(position[:], a.seed)&tokenMask)
}

// Text returns the first n tokens, joined.
func (a Answer) Text(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(a.Token(i))
	}
	return b.String()
}

// AnswerToken returns the token at offset of the answer to prompt, so that
// callers can check that they received their own, whole answer.
func AnswerToken(prompt string, model identifier.Model, version identifier.WeightVersion, offset int) string {
	return NewAnswer(prompt, model, version).Token(offset)
}

// AnswerText returns the first n tokens of the answer to prompt, joined.
func AnswerText(prompt string, model identifier.Model, version identifier.WeightVersion, n int) string {
	return NewAnswer(prompt, model, version).Text(n)
}

// payloadBytes is the size of the bytes that stand for a block on a connection.
const payloadBytes = 64

// BlockPayload returns the bytes that engines export for the block of key.
func BlockPayload(key identifier.BlockKey) []byte {
	payload := make([]byte, 0, payloadBytes)
	for i := range uint64(payloadBytes / 8) {
		payload = binary.LittleEndian.AppendUint64(payload, xxh3.HashSeed(key[:], i))
	}
	return payload
}
