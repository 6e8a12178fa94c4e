package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// stalledUploads is the number of uploads to each host that stop short of their end and stay open.
	stalledUploads = 400
	// trailerNames is the number of names in the odd line of each, of three characters.
	trailerNames = 3900
	nameLetters  = "abcdefghijklmnopqrstuvwxyz0123456789"
	stalledTime  = 20 * time.Second
	// orderCallers is the number of ordinary callers of each host, each with a connection that it keeps.
	orderCallers   = 60
	orderPause     = 50 * time.Millisecond
	orderCalmTime  = 2 * time.Second
	sampleInterval = 100 * time.Millisecond
	recordInterval = time.Second
	// maxLost is the number of requests that a host may lose.
	maxLost = 3
)

// orders counts what became of the orders at one host.
type orders struct {
	answers tally
	// lost counts those that came on a kept connection and ran, and got no answer.
	lost atomic.Int64
}

// runTrailerNames opens uploads that stop short of their end, each with one line of very many trailer names, beside ordinary
// orders. It ends a host that exceeds the memory of its machine, as the platform does. No host may lose more than three orders.
// Without the disruption, the line is an ordinary one of the same length.
func runTrailerNames(ctx context.Context, r *run) error {
	d, err := newDeployment(ctx, r, 0)
	defer d.stop()
	if err != nil {
		return err
	}
	playCtx, end := context.WithTimeout(ctx, orderCalmTime+stalledTime)
	defer end()
	line := "X-Note"
	if d.trouble {
		line = "Trailer"
	}
	counts := make([]orders, len(d.hosts))
	for i, h := range d.hosts {
		for range orderCallers {
			go d.sendOrders(playCtx, h, &counts[i])
		}
	}
	time.Sleep(orderCalmTime)
	for _, h := range d.hosts {
		go d.openUploads(playCtx, h, line+": "+nameList())
	}
	d.endLargeHosts(playCtx)
	time.Sleep(time.Second)
	d.recordWorkers()
	var broken error
	for i, h := range d.hosts {
		lost := counts[i].lost.Load()
		d.record.printf("%s: orders by status %v; %d ran and got no answer", h.name, &counts[i].answers, lost)
		if lost > maxLost {
			broken = fmt.Errorf("%s lost %d orders: %w", h.name, lost, errBroken)
		}
	}
	return broken
}

// nameList returns trailerNames different names.
func nameList() string {
	names := make([]string, trailerNames)
	for n := range names {
		const letters = len(nameLetters)
		names[n] = string([]byte{nameLetters[n%letters], nameLetters[n/letters%letters], nameLetters[n/letters/letters%letters]})
	}
	return strings.Join(names, ",")
}

// sendOrders sends one order after the other on a connection that it keeps.
func (d *deployment) sendOrders(ctx context.Context, h *relay, counts *orders) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for ctx.Err() == nil && h.running() {
		kept := false
		trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { kept = info.Reused }}
		order := d.request(httptrace.WithClientTrace(context.WithoutCancel(ctx), trace), h, pathOrder, []byte("one order"))
		id := order.Header.Get("Request-Id")
		if status := counts.answers.send(client, order); status == 0 {
			_, ran := d.ran.Load(id)
			d.record.printf("%s: order %s got no answer; kept connection %v, ran %v", h.name, id, kept, ran)
			if kept && ran {
				counts.lost.Add(1)
			}
		}
		time.Sleep(orderPause)
	}
}

// openUploads opens the uploads to a host and keeps them open until the context ends.
func (d *deployment) openUploads(ctx context.Context, h *relay, line string) {
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	size := 0
	for ctx.Err() == nil && len(conns) < stalledUploads {
		c, err := net.Dial("tcp", h.callers.String())
		if err != nil {
			d.record.printf("%s takes no more connections: %v", h.name, err)
			break
		}
		conns = append(conns, c)
		head := fmt.Sprintf("POST %s%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %016x\r\nAuthorization: Bearer %s\r\nDeadline-Ms: 1000\r\nTransfer-Encoding: chunked\r\n%s\r\n\r\n",
			pathLookUp, len(conns), routeHost, d.lastID.Add(1), callerKey, line)
		size = len(head)
		if _, err := io.WriteString(c, head+"5\r\nhello\r\n"); err != nil {
			break
		}
	}
	d.record.printf("%s has %d open uploads, each with a head of %d bytes", h.name, len(conns), size)
	<-ctx.Done()
}

// endLargeHosts samples the memory of the hosts until the context ends or all have ended. It ends those that exceed the memory of
// their machines.
func (d *deployment) endLargeHosts(ctx context.Context) {
	recorded := time.Time{}
	for ctx.Err() == nil {
		due := time.Since(recorded) >= recordInterval
		if due {
			recorded = time.Now()
		}
		running := 0
		for _, h := range d.hosts {
			if !h.running() {
				continue
			}
			running++
			rss := h.rss()
			exceeded := rss > hostMemoryMB<<20
			if due || exceeded {
				d.record.printf("%s holds %.1f of %d MB", h.name, float64(rss)/(1<<20), hostMemoryMB)
			}
			if exceeded {
				h.signal(syscall.SIGKILL)
			}
		}
		if running == 0 {
			return
		}
		time.Sleep(sampleInterval)
	}
}
