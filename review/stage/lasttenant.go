package main

import (
	"errors"
	"net/http"
	"time"
)

func init() { plays["last-tenant"] = playLastTenant }

// playLastTenant takes the only tenant away, with its key.
func playLastTenant(s *stage, trouble bool) (bool, error) {
	keys := map[string]string{"key-goes": "mona211"}
	s.writeConfig(configuration{version: 7, keys: keys})
	if err := s.startSmall(2, 3, 15*time.Millisecond); err != nil {
		return false, err
	}
	c := s.newCaller(false)
	if a := c.send(s.hosts[0], pay("key-goes")); a.status != http.StatusOK {
		return false, errors.New("the key is refused before it is taken away: " + a.String())
	}
	if a := c.send(s.hosts[0], pay("key-unknown")); a.status != http.StatusUnauthorized {
		return false, errors.New("an unknown key isn't refused: " + a.String())
	}
	if trouble {
		delete(keys, "key-goes")
	}
	revoked := s.writeConfig(configuration{version: 9, keys: keys})
	time.Sleep(time.Until(revoked.Add(revokeTime + 500*time.Millisecond)))
	late := map[string]bool{}
	for range 10 {
		for _, h := range s.hosts {
			late[c.send(h, pay("key-unknown")).id] = true
			if trouble {
				late[c.send(h, pay("key-goes")).id] = true
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	ran := s.runs.of(func(r run) bool { return late[r.id] })
	s.note("%d requests with a revoked or unknown key ran, sent later than %v after the acknowledgement", len(ran), revokeTime)
	return len(ran) > 0, nil
}
