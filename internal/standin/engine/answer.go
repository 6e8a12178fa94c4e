package engine

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/zeebo/xxh3"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
)

// tokenMask truncates a token's hash to six hexadecimal digits.
const tokenMask = 0xffffff

// Answer generates the tokens of the answer to one prompt. They depend only on
// the prompt, the model and the weight version, so that a resumed answer
// continues with the same tokens on any engine.
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

// Text returns the concatenation of the first n tokens.
func (a Answer) Text(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(a.Token(i))
	}
	return b.String()
}

// AnswerToken returns the token at offset of the answer to prompt. Callers use
// it to check that they received the complete answer to their own prompt.
func AnswerToken(prompt string, model identifier.Model, version identifier.WeightVersion, offset int) string {
	return NewAnswer(prompt, model, version).Token(offset)
}

// AnswerText returns the concatenation of the first n tokens of the answer to prompt.
func AnswerText(prompt string, model identifier.Model, version identifier.WeightVersion, n int) string {
	return NewAnswer(prompt, model, version).Text(n)
}

// payloadBytes is the size of the payload that represents a block in a transfer.
// It is independent of Settings.BlockBytes, the simulated size.
const payloadBytes = 64

// BlockPayload returns the payload that engines export for a block. It depends
// only on key, so that an import can detect the payload of another block.
func BlockPayload(key identifier.BlockKey) []byte {
	payload := make([]byte, 0, payloadBytes)
	for i := range uint64(payloadBytes / 8) {
		payload = binary.LittleEndian.AppendUint64(payload, xxh3.HashSeed(key[:], i))
	}
	return payload
}
