package soaker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"cardamomscale.example/cardamomscale/platform/imitator"
)

const (
	// stopSeriesTime is how long uploads and slow answers come while hosts are stopped.
	stopSeriesTime = 12 * time.Second
	// maxStopDelay is the longest time from the start of the series to a stop, so that stops overlap.
	maxStopDelay = 4 * time.Second
	// uploaders is the number of callers that upload their requests in pieces.
	uploaders = 40
	// maxUploadTime and maxUploaderPause are the longest time of an upload and the longest pause between two
	// requests on a connection. uploadTimeout is longer than any bound of a stop.
	maxUploadTime    = 6 * time.Second
	maxUploaderPause = 2 * time.Second
	uploadTimeout    = 20 * time.Second
	// maxSlowness is how many times longer than usual answers take: streams up to 9 s, plain answers up to 1.5 s.
	maxSlowness = 30
	// lossSlack is the time after the last byte of a request from which a host must have answered it, or leave the
	// connection open.
	lossSlack = 200 * time.Millisecond
	// latestExcused is the time after the stop until which a request that may be cut must have been sent, and
	// excusedTime that from which it may be, the last sixth of the grace period.
	latestExcused = 3 * time.Second
	excusedTime   = gracePeriod * 5 / 6
	// timeoutSlack is how much earlier than its route's timeout, counted from its last byte, a request may end.
	timeoutSlack = 50 * time.Millisecond
	// stopTail is how long after its grace period a host's stop still counts.
	stopTail = time.Second
)

// routeTimeouts are the timeouts of the configuration's routes, by the kind of request.
var routeTimeouts = map[string]time.Duration{"pay": 2 * time.Second, "look": 2 * time.Second, "long": 5 * time.Second, "short": 8 * time.Second}

// stopStream is the stream of random numbers of stopSeries.
const stopStream = 1 << 35

// stopSeries stops hosts in overlapping turns while callers upload requests in pieces and some targets answer slowly.
// There are no other faults meanwhile, so that no request may be lost but those that the platform excuses.
func (s *Soaker) stopSeries(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.cfg.Seed, stopStream))
	cl, chk := s.cluster, s.checker
	for _, t := range cl.targets() {
		if rng.IntN(2) == 0 {
			t.worker.SetSlowness(1 + rng.Float64()*(maxSlowness-1))
		}
	}
	seriesCtx, end := context.WithTimeout(ctx, stopSeriesTime)
	defer end()
	var g sync.WaitGroup
	for n := range uploaders {
		u := newUploader(cl, chk, rand.New(rand.NewPCG(s.cfg.Seed, stopStream+1+uint64(n))), n)
		g.Go(func() { u.run(seriesCtx) })
	}
	for _, i := range rng.Perm(len(cl.hosts))[:min(len(cl.hosts)-1, 2+rng.IntN(2))] {
		h, delay := cl.hosts[i], time.Duration(rng.Float64()*float64(maxStopDelay))
		g.Go(func() {
			sleep(ctx, delay)
			s.recordEvent("stop " + h.name + " under uploads")
			stoppedAt := time.Now()
			h.stop(ctx)
			chk.recordStop(h.name, stoppedAt)
			h.start(chk)
		})
	}
	g.Wait()
	for _, t := range cl.targets() {
		t.worker.SetSlowness(1)
	}
	chk.checkStops()
	for _, h := range cl.hosts {
		if !h.awaitReady(ctx, readyTimeout) {
			chk.addViolation("restart", h.name+" doesn't serve again after a stop under uploads")
		}
	}
}

// uploader is a caller that opens connections to any host, also one that stops, and uploads its requests in pieces.
type uploader struct{ *caller }

func newUploader(cl *cluster, chk *checker, rng *rand.Rand, number int) *uploader {
	u := &uploader{caller: newCaller(cl, chk, rng, number)}
	u.client.Timeout = uploadTimeout
	return u
}

func (u *uploader) run(ctx context.Context) {
	u.host = u.cluster.hosts[u.rng.IntN(len(u.cluster.hosts))]
	for n := 0; sleep(ctx, u.draw(maxUploaderPause)); n++ {
		u.remaining = 1
		u.upload(fmt.Sprintf("upload-%d-%d", u.number, n))
		if u.remaining == 0 { // The connection has ended, or can't be made.
			u.host = u.cluster.pickHost(u.rng)
		}
	}
	u.client.CloseIdleConnections()
}

func (u *uploader) draw(limit time.Duration) time.Duration {
	return time.Duration(u.rng.Float64() * float64(limit))
}

// upload sends one request and passes its response to the checker.
func (u *uploader) upload(id string) {
	kind := []string{"pay", "long", "short"}[u.rng.IntN(3)]
	key, team := u.cluster.pickKey(u.rng)
	body := fmt.Sprintf("body of %s %0*d", id, u.rng.IntN(2000), 0)
	duration := time.Duration(0)
	if u.rng.IntN(2) == 0 {
		duration = u.draw(maxUploadTime)
	}
	req := imitator.NewRequest(u.host.callerAddr, id, "/"+kind+"/", key, body, uploadTimeout, u.prompt(kind))
	a := &attempt{kind: kind, method: req.Method, uri: "/" + kind + "/" + id, body: body, key: key, team: team, host: u.host.name}
	pieces := &slowBody{rest: body, pause: duration / 2, sent: func() { u.checker.setUploaded(a) }}
	req.Body = pieces
	if u.rng.IntN(2) == 0 {
		req.ContentLength = -1 // In chunks.
	}
	u.checker.startAttempt(id, a)
	got := u.do(req)
	var opErr *net.OpError
	if errors.As(got.err, &opErr) && opErr.Op == "dial" {
		u.checker.setUnsent(a)
	}
	u.checker.endAttempt(id, got)
}

// slowBody is a body that comes in two pieces with a pause before each.
type slowBody struct {
	rest  string
	pause time.Duration
	// sent is called when the last byte has been read.
	sent func()
	half bool
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.rest == "" {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	next := len(b.rest)
	if !b.half && next > 1 {
		b.half, next = true, next/2
	}
	n := copy(p, b.rest[:next])
	if b.rest = b.rest[n:]; b.rest == "" {
		b.sent()
		return n, io.EOF
	}
	return n, nil
}

// Close implements io.Closer.
func (b *slowBody) Close() error { return nil }

// setUploaded records that the last byte of a request has been sent.
func (c *checker) setUploaded(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.uploaded = time.Now()
}

// setUnsent records that no connection could be made for a request.
func (c *checker) setUnsent(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.uploaded = time.Time{}
}

// recordStop records the time of a host's graceful stop.
func (c *checker) recordStop(host string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stops = append(c.stops, hostStop{host, at})
}

// hostStop is a graceful stop of a host.
type hostStop struct {
	host string
	at   time.Time
}

// checkStops checks that no stop so far has lost a request, as the platform defines it: a whole request whose
// connection ends without a complete answer, either once it has been passed on, or later than lossSlack after its
// last byte.
func (c *checker) checkStops() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, stop := range c.stops {
		for id, a := range c.attempts {
			if a.host == stop.host && a.isLostAt(stop.at) && c.clockReliable(a.sent, a.ended) {
				c.addViolationLocked("graceful stop", fmt.Sprintf("%s (%s) was lost by %s, sent %s, uploaded %s, ended %s after its stop, %d runs", id, a.kind, a.host,
					a.sent.Sub(stop.at), a.uploaded.Sub(stop.at), a.ended.Sub(stop.at), a.runs))
			}
		}
	}
	c.stops = nil
}

// isLostAt reports whether the attempt was lost around the stop of its host.
func (a *attempt) isLostAt(stop time.Time) bool {
	if !a.cut || a.uploaded.IsZero() || a.ended.Before(stop) || a.ended.After(stop.Add(gracePeriod+stopTail)) {
		return false
	}
	if a.ended.Sub(a.uploaded) >= routeTimeouts[a.kind]-timeoutSlack {
		return false
	}
	if a.runs == 0 {
		return a.ended.After(a.uploaded.Add(lossSlack))
	}
	excusedFrom := stop.Add(excusedTime)
	excused := a.uploaded.Before(stop.Add(latestExcused)) && !a.ended.Before(excusedFrom) && !a.workUntil.Before(excusedFrom)
	return !excused
}
