package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	partsPerPrompt = 1300
	partTokens     = 16
	// maxPartsTime bounds the time for which prompts with many parts are sent. After it, or once a host holds too much, the
	// memory is looked at again restTime later.
	maxPartsTime   = 80 * time.Second
	restTime       = 5 * time.Second
	sampleInterval = time.Second
	lookUpInterval = 100 * time.Millisecond
	// shortCallers is the number of connections to each host with a prompt of very many short parts, shortPartCount that of the
	// parts, and shortTokens what such a prompt needs.
	shortCallers   = 800
	shortPartCount = 7800
	shortTokens    = "10,250"
	shortPause     = 100 * time.Millisecond
	shortTime      = 30 * time.Second
)

// runPromptParts lets one caller at each host send prompts that name very many short parts and that no engine can hold, one
// after the other, beside ordinary requests. Each host must stay within the memory of its machine.
func runPromptParts(ctx context.Context, r *run) error {
	d, err := newDeployment(ctx, r, 2)
	defer d.stop()
	if err != nil {
		return err
	}
	time.Sleep(settleTime)
	ordinaryCtx, endOrdinary := context.WithCancel(ctx)
	defer endOrdinary()
	partsCtx, endParts := context.WithTimeout(ctx, maxPartsTime)
	defer endParts()
	var ordinary, large tally
	for _, h := range d.hosts {
		go sendEach(ordinaryCtx, lookUpInterval, &ordinary, func() *http.Request { return d.request(ctx, h, pathLookUp, nil) })
		if d.trouble {
			go d.sendManyParts(partsCtx, h, &large)
		}
	}
	exceeded := d.watchMemory(partsCtx)
	endParts()
	time.Sleep(restTime)
	for _, h := range d.hosts {
		d.record.printf("%s holds %.1f MB, %v after the last such prompt", h.name, float64(h.rss())/(1<<20), restTime)
	}
	d.record.printf("ordinary requests by status %v, prompts with many parts by status %v", &ordinary, &large)
	d.recordWorkers()
	return exceeded
}

// sendManyParts sends prompts of legal size, each with parts of its own.
func (d *deployment) sendManyParts(ctx context.Context, h *relay, answers *tally) {
	client := &http.Client{Timeout: 6 * time.Second}
	for ctx.Err() == nil {
		var parts strings.Builder
		first := uint32(d.lastID.Load()) * partsPerPrompt
		for n := range uint32(partsPerPrompt) {
			fmt.Fprintf(&parts, "%08x:%d,", first+n, partTokens)
		}
		const tokens = engineTokens + 100
		fmt.Fprintf(&parts, "ffffffff:%d", tokens-partsPerPrompt*partTokens)
		prompt := d.prompt(ctx, h, fmt.Sprint(tokens, ",1"), parts.String(), []byte("prompt"))
		status := answers.send(client, prompt)
		d.record.printf("%s gets prompt %s with %d parts from %08x on: %d", h.name, prompt.Header.Get("Request-Id"), partsPerPrompt+1, first, status)
	}
}

// runShortParts opens some hundred connections to each host, each with one prompt at a time, which names very many parts, the same
// in all of them. Each host must stay within the memory of its machine.
func runShortParts(ctx context.Context, r *run) error {
	d, err := newDeployment(ctx, r, 2)
	defer d.stop()
	if err != nil {
		return err
	}
	time.Sleep(settleTime)
	playCtx, end := context.WithTimeout(ctx, shortTime)
	defer end()
	var parts strings.Builder
	for n := range shortPartCount {
		fmt.Fprintf(&parts, "%x,", n%16)
	}
	parts.WriteString("f:10")
	var ordinary, short tally
	for _, h := range d.hosts {
		go sendEach(playCtx, lookUpInterval, &ordinary, func() *http.Request { return d.request(ctx, h, pathLookUp, nil) })
		for range shortCallers {
			if d.trouble {
				go d.sendShortParts(playCtx, h, parts.String(), &short)
			}
		}
	}
	exceeded := d.watchMemory(playCtx)
	d.record.printf("ordinary requests by status %v, prompts of %d connections to each host with %d parts by status %v", &ordinary, shortCallers, shortPartCount+1, &short)
	d.recordWorkers()
	return exceeded
}

// sendShortParts sends the same prompt on one connection, one at a time.
func (d *deployment) sendShortParts(ctx context.Context, h *relay, parts string, answers *tally) {
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{}}
	for ctx.Err() == nil {
		answers.send(client, d.prompt(ctx, h, shortTokens, parts, []byte("prompt")))
		time.Sleep(shortPause)
	}
}

// watchMemory samples the memory of the hosts until the context ends or one has ended or exceeds the memory of its machine.
func (d *deployment) watchMemory(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, h := range d.hosts {
			if !h.running() {
				return fmt.Errorf("%s ended by itself: %w", h.name, errBroken)
			}
			rss := h.rss()
			d.record.printf("%s holds %.1f of %d MB", h.name, float64(rss)/(1<<20), hostMemoryMB)
			if rss > hostMemoryMB<<20 {
				return fmt.Errorf("%s held %.1f MB, its machine has %d MB: %w", h.name, float64(rss)/(1<<20), hostMemoryMB, errBroken)
			}
		}
		time.Sleep(sampleInterval)
	}
	return nil
}
