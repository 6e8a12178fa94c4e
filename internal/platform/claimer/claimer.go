// Package claimer ensures that a request with an idempotency key runs at most
// once. It creates an object on the platform, the claim, before the request is
// sent; another request with the same key finds the claim.
package claimer

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"cardamomscale.example/cardamomscale/internal/core/failer"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/platform/client"
)

// Kind classifies failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindInvalid reports an incomplete configuration or a damaged record.
	KindInvalid Kind = "invalid"
	// KindNotHeld reports that the claim has another holder or state than expected.
	KindNotHeld Kind = "not-held"
	// KindUnsettled reports that the platform did not confirm the write in time.
	KindUnsettled Kind = "unsettled"
)

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

func newError(op string, kind Kind, cause error) *Error {
	return &Error{failer.Detail[Kind]{Op: op, Kind: kind, Err: cause}}
}

// KeyPrefix is the prefix of the object keys of claims.
const KeyPrefix = "claim/"

// minSecretBytes is the shortest secret that prevents guessing callers' keys from
// the object keys.
const minSecretBytes = 16

const (
	backoffBase = 20 * time.Millisecond
	backoffMax  = time.Second
)

// Config configures a Claimer.
type Config struct {
	Store  client.ObjectStore
	Clock  clockwork.Clock
	Jitter *client.Jitter
	Logger hclog.Logger
	// Secret is the HMAC key by which object keys are derived from callers' keys.
	// All daemons must share it.
	Secret []byte
}

// Claimer claims requests.
type Claimer struct {
	cfg       Config
	abandoned *abandonedClaims
}

// New returns a Claimer, or an Error of KindInvalid.
func New(cfg Config) (*Claimer, error) {
	if cfg.Store == nil || cfg.Clock == nil || cfg.Jitter == nil {
		return nil, newError("new claimer", KindInvalid, errors.New("store, clock or jitter is not set"))
	}
	if len(cfg.Secret) < minSecretBytes {
		return nil, newError("new claimer", KindInvalid, errors.Newf("secret has %d bytes, need %d", len(cfg.Secret), minSecretBytes))
	}
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	return &Claimer{cfg: cfg, abandoned: newAbandonedClaims()}, nil
}

// ClaimRequest identifies a request that may run at most once.
type ClaimRequest struct {
	Team identifier.Team
	// Key is the caller's idempotency key.
	Key string
	// Request is this call's request ID.
	Request identifier.Request
	// Fingerprint is a hash of the request's method, path and body.
	Fingerprint string
}

func (c *Claimer) objectKey(req ClaimRequest) string {
	h := hmac.New(sha256.New, c.cfg.Secret)
	h.Write([]byte(req.Team))
	h.Write([]byte{0})
	h.Write([]byte(req.Key))
	return KeyPrefix + hex.EncodeToString(h.Sum(nil))
}

// Claim claims req. It retries calls to the platform until ctx ends. If the reply
// to a write is lost, it reads the claim and compares the token. It returns an
// error only for a damaged record. The request may be sent only if the outcome is Won.
func (c *Claimer) Claim(ctx context.Context, req ClaimRequest) (Outcome, error) {
	call := &claimCall{
		Claimer: c,
		key:     c.objectKey(req),
		record: Record{
			Token: c.cfg.Jitter.Token(), Team: req.Team, Request: req.Request, State: StateClaimed,
			Fingerprint: req.Fingerprint, WrittenAt: c.cfg.Clock.Now().UTC(),
		},
	}
	return call.run(ctx)
}

// claimCall is one call of Claim.
type claimCall struct {
	*Claimer
	key    string
	record Record
	// expect is the version that the claim replaces.
	expect uint64
	// writeUnconfirmed is true while a write may have taken effect or may yet do so.
	writeUnconfirmed bool
}

func (c *claimCall) run(ctx context.Context) (Outcome, error) {
	backoff := c.newBackoff()
	for {
		outcome, err := c.tryOnce(ctx)
		if outcome != nil {
			return outcome, nil
		}
		var claimErr *Error
		if errors.As(err, &claimErr) {
			c.abandon()
			return nil, err
		}
		if client.Sleep(ctx, c.cfg.Clock, backoff.Next()) != nil {
			c.abandon()
			return Unsettled{Err: err}, nil
		}
	}
}

// abandon leaves the claim to Run for release if its write may have taken effect.
func (c *claimCall) abandon() {
	if c.writeUnconfirmed {
		c.abandoned.add(abandonedClaim{key: c.key, record: c.record, expect: c.expect})
	}
}

func (c *claimCall) tryOnce(ctx context.Context) (Outcome, error) {
	version, err := c.put(ctx, c.key, c.record, c.expect)
	switch client.KindOf(err) {
	case "":
		return c.won(version), nil
	case client.KindConflict:
		return c.readBack(ctx)
	case client.KindUnknown:
		c.writeUnconfirmed = true
		return c.readBack(ctx)
	default:
		return nil, err
	}
}

func (c *claimCall) won(version uint64) Outcome {
	return Won{Held{Version: version, key: c.key, record: c.record}}
}

// readBack derives the outcome from the stored claim. It returns no outcome if the
// claim should be tried again.
func (c *claimCall) readBack(ctx context.Context) (Outcome, error) {
	version, found, err := c.get(ctx, c.key)
	if client.IsKind(err, client.KindNotFound) {
		return nil, errors.New("claim not found")
	}
	if err != nil {
		return nil, err
	}
	if found.Token == c.record.Token {
		return c.won(version), nil
	}
	if found.Fingerprint != c.record.Fingerprint {
		return Mismatch{Request: found.Request}, nil
	}
	switch found.State {
	case StateAnswered:
		return AlreadyAnswered{Answer: *found.Answer}, nil
	case StateUnknown:
		return Unknown{Request: found.Request, WrittenAt: found.WrittenAt}, nil
	case StateReleased:
		c.expectVersion(version)
		return nil, errors.New("claim was released")
	default:
		return c.resolveClaimed(version, found)
	}
}

// resolveClaimed replaces a claim that this daemon has abandoned, since its
// request was not sent. Any other claim is in progress.
func (c *claimCall) resolveClaimed(version uint64, found Record) (Outcome, error) {
	if c.abandoned.has(found.Token) {
		c.expectVersion(version)
		return nil, errors.New("claim was abandoned")
	}
	return InProgress{Request: found.Request, WrittenAt: found.WrittenAt}, nil
}

// expectVersion lets the next write replace version. Earlier writes expect lower
// versions and can no longer take effect, so their lost replies do not matter.
func (c *claimCall) expectVersion(version uint64) {
	if version > c.expect {
		c.expect = version
		c.writeUnconfirmed = false
	}
}

// Answer records that the request has run, with its response.
func (c *Claimer) Answer(ctx context.Context, held Held, answer Answer) error {
	if len(answer.Body) > MaxBodyBytes {
		answer.Body = nil
		answer.Omitted = true
	}
	held.record.State = StateAnswered
	held.record.Answer = &answer
	return c.writeFinalState(ctx, held)
}

// Release records that no part of the request was sent or has run, so that its
// key can be used again. Run retries a release that was not confirmed.
func (c *Claimer) Release(ctx context.Context, held Held) error {
	claimed := held.record
	held.record.State = StateReleased
	err := c.writeFinalState(ctx, held)
	var claimErr *Error
	if errors.As(err, &claimErr) && claimErr.Kind == KindUnsettled {
		c.abandoned.add(abandonedClaim{key: held.key, record: claimed, expect: held.Version})
	}
	return err
}

// RecordUnknown records that the request may have run and that its response is unknown.
func (c *Claimer) RecordUnknown(ctx context.Context, held Held) error {
	held.record.State = StateUnknown
	return c.writeFinalState(ctx, held)
}

// writeFinalState writes the state of a held claim and retries until the write is
// confirmed or ctx ends.
func (c *Claimer) writeFinalState(ctx context.Context, held Held) error {
	op := "write claim as " + string(held.record.State)
	held.record.WrittenAt = c.cfg.Clock.Now().UTC()
	backoff := c.newBackoff()
	for {
		_, err := c.put(ctx, held.key, held.record, held.Version)
		if err == nil {
			return nil
		}
		if client.IsKind(err, client.KindConflict) || client.IsKind(err, client.KindUnknown) {
			confirmed, confirmErr := c.confirmFinalState(ctx, held)
			if confirmed {
				return confirmErr
			}
		}
		if client.Sleep(ctx, c.cfg.Clock, backoff.Next()) != nil {
			return newError(op, KindUnsettled, err)
		}
	}
}

// confirmFinalState reads the claim and reports whether the result of writing held
// is definite. If so, the error is nil if the write took effect.
func (c *Claimer) confirmFinalState(ctx context.Context, held Held) (bool, error) {
	version, found, err := c.get(ctx, held.key)
	switch {
	case err != nil:
		return false, nil
	case version <= held.Version:
		return false, nil
	case found.Token == held.record.Token && found.State == held.record.State:
		return true, nil
	default:
		return true, newError("confirm claim", KindNotHeld, errors.Newf("claim is %s at version %d", found.State, version))
	}
}

func (c *Claimer) put(ctx context.Context, key string, r Record, expect uint64) (uint64, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return 0, newError("encode claim", KindInvalid, err)
	}
	o, err := c.cfg.Store.Put(ctx, key, value, expect)
	return o.Version, err
}

func (c *Claimer) get(ctx context.Context, key string) (uint64, Record, error) {
	o, err := c.cfg.Store.Get(ctx, key)
	if err != nil {
		return 0, Record{}, err
	}
	var r Record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return 0, r, newError("decode claim "+key, KindInvalid, err)
	}
	if r.State == StateAnswered && r.Answer == nil {
		return 0, r, newError("decode claim "+key, KindInvalid, errors.New("answer is missing"))
	}
	return o.Version, r, nil
}

func (c *Claimer) newBackoff() *client.Backoff {
	return &client.Backoff{Base: backoffBase, Max: backoffMax, Jitter: c.cfg.Jitter}
}
