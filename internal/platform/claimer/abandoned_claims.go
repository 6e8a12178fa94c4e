package claimer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/platform/client"
)

// maxAbandonedClaims limits the claims that wait to be released. Claims beyond
// the limit are never released and stay in progress.
const maxAbandonedClaims = 4096

const releaseInterval = time.Second

// abandonedClaim is a claim whose request was not sent, although the write of the
// claim may have taken effect or may yet do so.
type abandonedClaim struct {
	key    string
	record Record
	// expect is the version that the claim's write replaces.
	expect uint64
}

// abandonedClaims holds the abandoned claims of one daemon by token.
type abandonedClaims struct {
	mu     sync.Mutex
	claims map[string]abandonedClaim
}

func newAbandonedClaims() *abandonedClaims {
	return &abandonedClaims{claims: make(map[string]abandonedClaim)}
}

func (a *abandonedClaims) add(c abandonedClaim) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.claims) < maxAbandonedClaims {
		a.claims[c.record.Token] = c
	}
}

func (a *abandonedClaims) has(token string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, ok := a.claims[token]
	return ok
}

func (a *abandonedClaims) remove(token string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.claims, token)
}

func (a *abandonedClaims) list() []abandonedClaim {
	a.mu.Lock()
	defer a.mu.Unlock()
	claims := make([]abandonedClaim, 0, len(a.claims))
	for _, c := range a.claims {
		claims = append(claims, c)
	}
	return claims
}

// Run releases abandoned claims until ctx ends, so that their keys can be used again.
func (c *Claimer) Run(ctx context.Context) error {
	backoff := &client.Backoff{Base: releaseInterval, Max: 15 * releaseInterval, Jitter: c.cfg.Jitter}
	for {
		if c.releaseAbandoned(ctx) {
			backoff.Reset()
		}
		if err := client.Sleep(ctx, c.cfg.Clock, backoff.Next()); err != nil {
			return err
		}
	}
}

// releaseAbandoned tries to release each abandoned claim once and reports whether
// all were released. It stops at the first failure, to add no load to a failing
// platform.
func (c *Claimer) releaseAbandoned(ctx context.Context) bool {
	for _, claim := range c.abandoned.list() {
		if err := c.releaseClaim(ctx, claim); err != nil {
			c.cfg.Logger.Debug("release of an abandoned claim failed", "request-id", claim.record.Request, "err", err)
			return false
		}
		c.abandoned.remove(claim.record.Token)
	}
	return true
}

// releaseClaim ensures that the claim is not in effect and that a delayed write
// cannot bring it into effect. It returns nil once both are confirmed.
func (c *Claimer) releaseClaim(ctx context.Context, claim abandonedClaim) error {
	version, found, err := c.get(ctx, claim.key)
	released := claim.record
	released.State = StateReleased
	switch {
	case client.IsKind(err, client.KindNotFound):
		// The new record makes a delayed create fail.
		_, err = c.put(ctx, claim.key, released, client.MustNotExist)
		return err
	case err != nil:
		return err
	case found.Token == claim.record.Token && found.State == StateClaimed:
		_, err = c.put(ctx, claim.key, released, version)
		return err
	case found.Token != claim.record.Token && version < claim.expect:
		return errors.Newf("read of version %d is older than %d", version, claim.expect)
	case found.Token != claim.record.Token && version == claim.expect:
		// A new version makes a delayed update fail.
		_, err = c.put(ctx, claim.key, released, version)
		return err
	default:
		return nil
	}
}
