// Package claimer claims requests that may run at most once. A claim is an
// object of the platform that is created before the request is sent; a second
// use of the same key finds it.
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
	// KindNotHeld reports that the claim has another holder or state.
	KindNotHeld Kind = "not-held"
	// KindUnsettled reports that the platform did not confirm the write in time.
	KindUnsettled Kind = "unsettled"
)

// Error is the error type of this package.
type Error struct{ failer.Detail[Kind] }

func newError(op string, kind Kind, cause error) *Error {
	return &Error{failer.Detail[Kind]{Op: op, Kind: kind, Err: cause}}
}

// KeyPrefix begins the keys of claims.
const KeyPrefix = "claim/"

// minSecretBytes is the shortest secret that keeps keys unguessable.
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
	// Secret keys the hash that hides callers' keys; all daemons share it.
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

// ClaimRequest names one request that may run at most once.
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

// Claim claims req. It repeats its calls to the platform until ctx ends, and
// settles lost answers by reading back its token. An error is only returned
// for a damaged record; nothing may be sent then either.
func (c *Claimer) Claim(ctx context.Context, req ClaimRequest) (Outcome, error) {
	cl := &claiming{
		Claimer: c,
		key:     c.objectKey(req),
		record: Record{
			Token: c.cfg.Jitter.Token(), Team: req.Team, Request: req.Request, State: StateClaimed,
			Fingerprint: req.Fingerprint, WrittenAt: c.cfg.Clock.Now().UTC(),
		},
	}
	return cl.run(ctx)
}

// claiming is one call of Claim.
type claiming struct {
	*Claimer
	key    string
	record Record
	// expect is the version that the claim replaces.
	expect uint64
	// unsettled is true once a write may have taken effect.
	unsettled bool
}

func (c *claiming) run(ctx context.Context) (Outcome, error) {
	backoff := c.backoff()
	for {
		outcome, err := c.try(ctx)
		if outcome != nil {
			return outcome, nil
		}
		var own *Error
		if errors.As(err, &own) {
			c.abandon()
			return nil, err
		}
		if client.Sleep(ctx, c.cfg.Clock, backoff.Next()) != nil {
			c.abandon()
			return Unsettled{Err: err}, nil
		}
	}
}

// abandon gives up a claim whose write may have taken effect.
func (c *claiming) abandon() {
	if c.unsettled {
		c.abandoned.add(abandonedClaim{key: c.key, record: c.record, expect: c.expect})
	}
}

func (c *claiming) try(ctx context.Context) (Outcome, error) {
	version, err := c.put(ctx, c.key, c.record, c.expect)
	switch client.KindOf(err) {
	case "":
		return c.won(version), nil
	case client.KindConflict:
		return c.examine(ctx)
	case client.KindUnknown:
		c.unsettled = true
		return c.examine(ctx)
	default:
		return nil, err
	}
}

func (c *claiming) won(version uint64) Outcome {
	return Won{Held{Version: version, key: c.key, record: c.record}}
}

// examine reads the claim and decides what it means. It returns no outcome if
// the claim should be tried again.
func (c *claiming) examine(ctx context.Context) (Outcome, error) {
	version, found, err := c.get(ctx, c.key)
	if client.IsKind(err, client.KindNotFound) {
		return nil, errors.New("claim is not found")
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
		c.replace(version)
		return nil, errors.New("claim was released")
	default:
		return c.examineClaimed(version, found)
	}
}

// examineClaimed takes over a claim that this daemon has abandoned, since
// nothing was sent for it.
func (c *claiming) examineClaimed(version uint64, found Record) (Outcome, error) {
	if c.abandoned.has(found.Token) {
		c.replace(version)
		return nil, errors.New("claim was abandoned")
	}
	return InProgress{Request: found.Request, WrittenAt: found.WrittenAt}, nil
}

// replace aims the next write at version. Writes at lower versions can take
// effect no more, so that a lost answer from before is settled.
func (c *claiming) replace(version uint64) {
	if version > c.expect {
		c.expect = version
		c.unsettled = false
	}
}

// Answer records that the request has run and how it was answered.
func (c *Claimer) Answer(ctx context.Context, held Held, answer Answer) error {
	if len(answer.Body) > MaxBodyBytes {
		answer.Body = nil
		answer.Omitted = true
	}
	held.record.State = StateAnswered
	held.record.Answer = &answer
	return c.finish(ctx, held)
}

// Release records that nothing of the request was sent or has run, so that its
// key may be used again. A release that is not confirmed goes on in Run.
func (c *Claimer) Release(ctx context.Context, held Held) error {
	claimed := held.record
	held.record.State = StateReleased
	err := c.finish(ctx, held)
	var own *Error
	if errors.As(err, &own) && own.Kind == KindUnsettled {
		c.abandoned.add(abandonedClaim{key: held.key, record: claimed, expect: held.Version})
	}
	return err
}

// Forget records that the request may have run and that no answer is known.
func (c *Claimer) Forget(ctx context.Context, held Held) error {
	held.record.State = StateUnknown
	return c.finish(ctx, held)
}

// finish writes the last state of a held claim and settles lost answers.
func (c *Claimer) finish(ctx context.Context, held Held) error {
	op := "write claim as " + string(held.record.State)
	held.record.WrittenAt = c.cfg.Clock.Now().UTC()
	backoff := c.backoff()
	for {
		_, err := c.put(ctx, held.key, held.record, held.Version)
		if err == nil {
			return nil
		}
		if client.IsKind(err, client.KindConflict) || client.IsKind(err, client.KindUnknown) {
			done, settleErr := c.settle(ctx, held)
			if done {
				return settleErr
			}
		}
		if client.Sleep(ctx, c.cfg.Clock, backoff.Next()) != nil {
			return newError(op, KindUnsettled, err)
		}
	}
}

// settle reads back whether the last state of held was written.
func (c *Claimer) settle(ctx context.Context, held Held) (bool, error) {
	version, found, err := c.get(ctx, held.key)
	switch {
	case err != nil:
		return false, nil
	case version <= held.Version:
		return false, nil
	case found.Token == held.record.Token && found.State == held.record.State:
		return true, nil
	default:
		return true, newError("settle claim", KindNotHeld, errors.Newf("claim is %s at version %d", found.State, version))
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

func (c *Claimer) backoff() *client.Backoff {
	return &client.Backoff{Base: backoffBase, Max: backoffMax, Jitter: c.cfg.Jitter}
}
