package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	routeHost = "pule25.example"
	payPath   = "/defi252/"
	lookPath  = "/bobo563/lo7/"
	apiKey    = "nu6wsjnbanfqasnmgkcu"
	tenant    = "jeye930"
)

// configuration returns the operator's configuration with the routes to the plain service.
func configuration(version, maxBody int, timeout time.Duration) map[string]any {
	type object = map[string]any
	return object{
		"version": version,
		"routes": []object{
			{"name": "r-pay", "host": routeHost, "pathPrefix": payPath, "kind": "unsafe", "timeoutMs": timeout.Milliseconds(), "goalMs": 150, "priority": 2, "service": "order-desk", "attempts": 1, "public": false},
			{"name": "r-look", "host": routeHost, "pathPrefix": lookPath, "kind": "safe", "timeoutMs": timeout.Milliseconds(), "goalMs": 150, "priority": 2, "service": "order-desk", "attempts": 2, "public": false},
		},
		"services": []object{{"name": "order-desk", "healthPath": "/healthz", "maxConns": 100, "proto": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0}},
		"limits":   object{"maxHeaderBytes": 16384, "maxBodyBytes": maxBody, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []object{{"name": tenant, "apiKeys": []string{apiKey}, "priority": 1}},
	}
}

// answer is what a client got for a request.
type answer struct {
	id     string
	unsafe bool
	// status is 0 if the connection ended without an answer.
	status int
	sealed bool
	// kept is true if the connection had carried a request before.
	kept   bool
	sentAt time.Time
	relay  string
	detail string
}

// isClosed reports whether the connection was closed or reset without an answer.
func (a answer) isClosed() bool {
	return a.status == 0 && (strings.HasSuffix(a.detail, "EOF") || strings.Contains(a.detail, "reset by peer"))
}

// isDenied reports whether the answer is a 3xx or 4xx without a worker's seal that counts for the rule DENIED.
func (a answer) isDenied() bool {
	switch a.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	}
	return a.status >= 300 && a.status < 500 && !a.sealed
}

// clients sends requests and collects the answers. It is safe for concurrent use.
type clients struct {
	record *record
	next   atomic.Int64
	mu     sync.Mutex
	got    []answer
	group  sync.WaitGroup
}

func (c *clients) newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+c.next.Add(1)) }

// do sends a request on a connection of client and records the answer.
func (c *clients) do(client *http.Client, to *relay, unsafe bool, body io.Reader, length int64, deadline time.Duration) answer {
	a := answer{id: c.newID(), unsafe: unsafe, sentAt: time.Now(), relay: to.name}
	method, path := http.MethodGet, lookPath
	if unsafe {
		method, path = http.MethodPost, payPath
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { a.kept = info.Reused }})
	r, err := http.NewRequestWithContext(ctx, method, "http://"+to.front()+path+"2f", body)
	if err != nil {
		panic(err) // Can't happen: addresses and paths are fixed.
	}
	r.Host, r.ContentLength = routeHost, length
	r.Header.Set("Request-Id", a.id)
	r.Header.Set("Authorization", "Bearer "+apiKey)
	r.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	c.record.write("client", "sends", "id", a.id, "relay", to.name, "method", method, "bytes", length)
	resp, err := client.Do(r)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close() // It has been read.
	}
	if err != nil {
		a.detail = err.Error()
	} else {
		a.status, a.sealed = resp.StatusCode, resp.Header.Get("Reply-Seal") != ""
	}
	c.record.write("client", "gets", "id", a.id, "status", a.status, "sealed", a.sealed, "after", time.Since(a.sentAt).Round(time.Millisecond), "error", fmt.Sprintf("%q", a.detail))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.got = append(c.got, a)
	return a
}

// sendSteadily sends requests through a relay at a rate until ctx ends. Four in five are unsafe.
func (c *clients) sendSteadily(ctx context.Context, to *relay, perSecond float64) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, DisableCompression: true}}
	for n := 0; ctx.Err() == nil; n++ {
		c.group.Go(func() {
			if n%5 == 4 {
				c.do(client, to, false, nil, 0, time.Second)
				return
			}
			body := newBody(600, 0)
			c.do(client, to, true, body, 600, time.Second)
		})
		sleep(ctx, time.Duration(float64(time.Second)/perSecond))
	}
}

// body is a request body of a given size, sent at a limited rate.
type body struct {
	left int
	// perSecond is the rate in bytes; 0 is unlimited.
	perSecond int
}

func newBody(size, perSecond int) io.Reader { return &body{left: size, perSecond: perSecond} }

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), b.left)
	if b.perSecond > 0 {
		n = min(n, 16<<10)
		time.Sleep(time.Duration(float64(n) / float64(b.perSecond) * float64(time.Second)))
	}
	for i := range p[:n] {
		p[i] = 'x'
	}
	b.left -= n
	return n, nil
}
