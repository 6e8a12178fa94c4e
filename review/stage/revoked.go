package main

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"cardamomscale.example/cardamomscale/platform/imitator"
)

func init() { plays["revoked"] = playRevoked }

const (
	// goesAwayAfter is the time from the acknowledgement to the start of the drill, and storeAway how long that lasts.
	goesAwayAfter = 4500 * time.Millisecond
	storeAway     = time.Second
	rewriteTime   = time.Second
)

// playRevoked takes a key away, and restarts one host while the store comes back from a copy that still has it.
func playRevoked(s *stage, trouble bool) (bool, error) {
	keys := map[string]string{"key-stays": "jeye930", "key-goes": "mona211"}
	s.writeConfig(configuration{version: 7, keys: keys})
	if err := s.startSmall(3, 3, 15*time.Millisecond); err != nil {
		return false, err
	}
	c := s.newCaller(false)
	if a := c.send(s.hosts[2], pay("key-goes")); a.status != http.StatusOK {
		return false, errors.New("the key is refused before it is taken away: " + a.String())
	}
	before := s.store.Copy()
	delete(keys, "key-goes")
	revoked := s.writeConfig(configuration{version: 9, keys: keys})
	time.Sleep(time.Until(revoked.Add(goesAwayAfter)))
	for _, h := range s.hosts {
		c.send(h, pay("key-goes"))
	}
	var lost imitator.StoreCopy
	if trouble {
		s.note("the store is away")
		s.gate.away()
		lost = s.store.GoBack(before)
		s.hosts[2].kill()
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	callers.Go(func() { s.tryRevoked(c, stop) })
	if trouble {
		time.Sleep(storeAway)
		s.gate.open()
		s.note("the store is back from a copy")
		if err := s.hosts[2].start(); err != nil {
			return false, err
		}
		time.Sleep(rewriteTime)
		s.store.WriteAgain(lost, before.Revision(), imitator.KindConfig, imitator.KindTargets)
		s.note("the operator and the workers have written again")
	}
	time.Sleep(3 * time.Second)
	close(stop)
	callers.Wait()
	late := s.runs.of(func(r run) bool { return r.tenant == "mona211" && r.sentAt.After(revoked.Add(revokeTime)) })
	s.note("%d requests with the revoked key ran, sent later than %v after the acknowledgement", len(late), revokeTime)
	return len(late) > 0, nil
}

// tryRevoked sends requests with the revoked key to the third host.
func (s *stage) tryRevoked(c *caller, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		c.send(s.hosts[2], pay("key-goes"))
	}
}

// pay is a request that must not be repeated.
func pay(key string) request {
	return request{method: http.MethodPost, path: routePay, key: key, body: "order 17", deadline: time.Second}
}

// startSmall starts plain workers and hosts, and waits until the hosts are ready.
func (s *stage) startSmall(hosts, workers int, work time.Duration) error {
	for range workers {
		if err := s.addWorker(&worker{service: plainName, takes: work}); err != nil {
			return err
		}
	}
	for n := range hosts {
		if _, err := s.addHost(n, 284); err != nil {
			return err
		}
	}
	return s.awaitReady(20 * time.Second)
}
