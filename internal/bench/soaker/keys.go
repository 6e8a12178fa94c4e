package soaker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// rotateKey revokes the second oldest key, which isn't that of the isolated team, issues a new one to
// the same team, and returns the revoked one.
func (c *cluster) rotateKey() string {
	c.mu.Lock()
	if len(c.keyOrder) < 2 {
		c.mu.Unlock()
		return "" // The teams are away.
	}
	key := c.keyOrder[1]
	team := c.revokeLocked(key)
	c.issueLocked(team)
	c.mu.Unlock()
	c.writeConfig()
	c.checker.setTime(c.checker.revokedAt, key, time.Now())
	return key
}

// revokeLocked takes a valid key away and returns its team; mu must be held.
func (c *cluster) revokeLocked(key string) string {
	team := c.activeKeys[key]
	delete(c.activeKeys, key)
	c.revokedKeys[key] = team
	c.keyOrder = slices.DeleteFunc(c.keyOrder, func(k string) bool { return k == key })
	return team
}

// issueLocked gives a team a new key; mu must be held.
func (c *cluster) issueLocked(team string) {
	c.lastKey++
	key := fmt.Sprint("key-", c.lastKey)
	c.activeKeys[key], c.keyOrder = team, append(c.keyOrder, key)
	c.issuedAt[key] = time.Now()
}

// removeTeams takes all teams away, one after the other, so that the list of teams is empty in the end. It returns the
// teams of the keys that were revoked, that of the isolated team first.
func (c *cluster) removeTeams() []string {
	var teams []string
	for {
		c.mu.Lock()
		if len(c.keyOrder) == 0 {
			c.mu.Unlock()
			return teams
		}
		key := c.keyOrder[0]
		teams = append(teams, c.revokeLocked(key))
		c.mu.Unlock()
		c.writeConfig()
		c.checker.setTime(c.checker.revokedAt, key, time.Now())
	}
}

// restoreTeams gives teams new keys.
func (c *cluster) restoreTeams(teams []string) {
	c.mu.Lock()
	for _, team := range teams {
		c.issueLocked(team)
	}
	c.mu.Unlock()
	c.writeConfig()
}

// pickKey draws a valid key or, one time in revokedKeyEvery, returns a revoked one.
func (c *cluster) pickKey(rng *rand.Rand) (key, team string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	const revokedKeyEvery = 8
	if rng.IntN(revokedKeyEvery) == 0 {
		for key, team = range c.revokedKeys {
			return key, team
		}
	}
	// Some hosts may not know newer keys yet.
	known := slices.DeleteFunc(slices.Clone(c.keyOrder), func(key string) bool { return time.Since(c.issuedAt[key]) <= maxConfigTime })
	if len(known) > 0 {
		key = known[rng.IntN(len(known))]
		return key, c.activeKeys[key]
	}
	for key, team = range c.revokedKeys {
		break
	}
	return key, team
}
