package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// stalledUploads is the number of uploads to each host that stop short of their end and stay open.
	stalledUploads = 400
	// trailerNames is the number of names in the odd line of each, of three characters.
	trailerNames = 3900
	nameLetters  = "abcdefghijklmnopqrstuvwxyz0123456789"
	stalledTime  = 20 * time.Second
)

// runTrailerNames opens uploads that stop short of their end, each with one line of very many trailer names, beside ordinary
// requests. Each host must stay within the memory of its machine. Without the disruption, the line is an ordinary one of the
// same length.
func runTrailerNames(ctx context.Context, r *run) error {
	d, err := newDeployment(ctx, r, 0)
	defer d.stop()
	if err != nil {
		return err
	}
	playCtx, end := context.WithTimeout(ctx, stalledTime)
	defer end()
	line := "X-Note"
	if d.trouble {
		line = "Trailer"
	}
	var ordinary tally
	for _, h := range d.hosts {
		go sendEach(playCtx, lookUpInterval, &ordinary, func() *http.Request { return d.request(ctx, h, pathLookUp, nil) })
		go d.openUploads(playCtx, h, line+": "+nameList())
	}
	exceeded := d.watchMemory(playCtx)
	d.record.printf("ordinary requests by status %v", &ordinary)
	return exceeded
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
		if _, err := fmt.Fprintf(c, "%s5\r\nhello\r\n", head); err != nil {
			break
		}
	}
	d.record.printf("%s has %d open uploads, each with a head of %d bytes", h.name, len(conns), size)
	<-ctx.Done()
}
