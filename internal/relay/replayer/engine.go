package replayer

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"cardamomscale.example/cardamomscale/internal/bench/auditor"
	"cardamomscale.example/cardamomscale/internal/relay/decider"
	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// Parameters of the engine model, from the specifications of the deployments.
const (
	stepTime              = 6080 * time.Microsecond
	stepTimePerSequence   = 41300 * time.Nanosecond
	prefillTokensPerMs    = 110
	attentionPairsPerMs   = 1e6 / 0.325
	prefillChunkTokens    = 1024
	engineMemoryTokens    = 63375
	engineSlots           = 48
	tokenBits             = 192512 * 8
	loadTime              = 420 * time.Millisecond
	cacheLifetime         = time.Second // Other parts soon evict a part, unless it is at the start of prompts.
	longOutputTokens      = 13
	meanShortOutputTokens = 73
	shortSpread           = 0.69
	maxShortOutput        = 219
	bitsPerMegabit        = 1e6
	// fatalPart crashes engines.
	fatalPart = "fatal"
)

// request is the state of one simulated request.
type request struct {
	number  int64
	host    *host
	path    string
	prompt  *descriptor.Prompt
	arrived time.Time
	goal    time.Duration
	send    decider.Send
	// prefillLeft and outputLeft count the tokens still to be prefilled and generated.
	prefillLeft   int
	contextTokens int
	outputLeft    int
	decoding      bool
	// events is the number of events of the answer.
	events int
	// firstPartSent is true once the first part was recorded, also by an aborted attempt.
	firstPartSent  bool
	importsReadyAt time.Time
	engine         *engine
	// fatal is true if the request crashes its engine.
	fatal bool
	// fingerprint is the same for all repeats of a request.
	fingerprint string
}

// engine simulates one engine.
type engine struct {
	descriptor.Target
	replayer *Replayer
	id       string
	version  int
	// orderedVersion is the version that an accepted order demands, or 0 without an order.
	orderedVersion int
	orderedAt      time.Time
	loading        bool
	acceptedOrders int64
	unresponsive   bool
	// crashed is true once the process has ended. Another one takes its place later.
	crashed       bool
	running       []*request
	stepScheduled bool
	// cachedUntil maps the parts in the cache to the time of their eviction.
	cachedUntil map[string]time.Time
	// limit is what the engine says of its limit in answers, and record what it named and got.
	limit  descriptor.RateLimit
	record auditor.Record
	// slowUntil is until when work takes longer, and jitter by how much the pace differs by chance.
	slowUntil time.Time
	jitter    float64
}

// store simulates one store of cache parts.
type store struct {
	descriptor.Store
	tokensByPart map[[2]string]int
	usedTokens   int
	// linkFreeAt is when the link has sent all requested parts.
	linkFreeAt time.Time
	slowFactor float64
}

func (r *Replayer) newStores(cfg *descriptor.Config) {
	r.stores = map[netip.AddrPort]*store{}
	for _, svc := range cfg.Services {
		if svc.Store != nil {
			r.stores[svc.Store.Address] = &store{Store: *svc.Store, tokensByPart: map[[2]string]int{}, slowFactor: 1}
		}
	}
}

// sendRequest sends a new request to a random host.
func (r *Replayer) sendRequest(path string) {
	r.result.Requests++
	req := r.newRequest(path)
	subject := r.rng.IntN(r.cfg.Subjects)
	req.prompt = &descriptor.Prompt{Model: modelName, Tokens: 9190, MaxOutput: longOutputTokens, Parts: []descriptor.Part{
		{ID: fmt.Sprint("start-", subject%4), Tokens: 2520}, {ID: fmt.Sprint("subject-", subject), Tokens: 5000}, {ID: "own", Tokens: 1670},
	}}
	if path == "/short/" {
		req.goal, req.outputLeft = shortGoal, r.drawShortOutput()
		req.prompt = &descriptor.Prompt{Model: modelName, Tokens: 827, MaxOutput: meanShortOutputTokens, Parts: []descriptor.Part{
			{ID: fmt.Sprint("opening-", subject%40), Tokens: 119}, {ID: fmt.Sprint("session-", subject), Tokens: 531}, {ID: "own", Tokens: 177},
		}}
	}
	r.open[req.number] = req
	r.kind(path).Requests++
	r.deliver(req)
}

func (r *Replayer) newRequest(path string) *request {
	r.lastNumber++
	h := r.hosts[r.rng.IntN(len(r.hosts))]
	return &request{number: r.lastNumber, host: h, path: path, arrived: r.now, goal: longGoal, outputLeft: longOutputTokens, fingerprint: fmt.Sprint(r.lastNumber)}
}

// sendFatalRequest sends a long prompt that crashes engines, which isn't counted with the others, to a random
// host: one with fatalPart, or the same request again. With a Delay its answer is longer than that.
func (r *Replayer) sendFatalRequest() {
	req := r.newRequest("/long/")
	req.fatal = true
	req.outputLeft += int(r.fatal.Delay / stepTime)
	subject := r.rng.IntN(r.cfg.Subjects)
	if r.fatal.Kind == FaultFatalRequest {
		req.fingerprint, subject = "fatal", 0
	}
	req.prompt = &descriptor.Prompt{Model: modelName, Tokens: 9190, MaxOutput: longOutputTokens, Parts: []descriptor.Part{
		{ID: fmt.Sprint("start-", subject%4), Tokens: 2520}, {ID: fmt.Sprint("subject-", subject), Tokens: 5000}, {ID: "own", Tokens: 1670},
	}}
	if r.fatal.Kind == FaultFatalPart {
		req.prompt.Parts = slices.Insert(req.prompt.Parts, 1, descriptor.Part{ID: fatalPart, Tokens: 100})
		req.prompt.Tokens += 100
	}
	r.open[req.number] = req
	r.deliver(req)
}

// deliver hands a request to its host.
func (r *Replayer) deliver(req *request) {
	r.post(req.host, decider.RequestArrived{
		Number: req.number, ID: fmt.Sprint(req.number), Host: "h", Path: req.path, Timeout: 5 * time.Second, Prompt: req.prompt, Fingerprint: req.fingerprint, BodyBytes: 4 * req.prompt.Tokens,
	})
}

// drawShortOutput draws the output length for a short prompt from a lognormal distribution.
func (r *Replayer) drawShortOutput() int {
	const median = meanShortOutputTokens / 1.27 // The median of the lognormal distribution with this mean and shortSpread.
	return max(1, min(maxShortOutput, int(median*math.Exp(shortSpread*r.rng.NormFloat64()))))
}

func (r *Replayer) recordRefusal(e decider.Refuse) {
	req := r.open[e.Number]
	delete(r.open, e.Number)
	switch {
	case req == nil || req.fatal:
	case e.NotRun:
		r.result.Refused++
		r.kind(req.path).Refused++
		if e.Kind == decider.RefusalQuarantined || e.Kind == decider.RefusalRequestQuarantined {
			r.result.Quarantined++
		}
		if e.Kind == decider.RefusalLimited {
			r.result.RefusedLimited++
		}
	default:
		r.result.Failed++
	}
}

// forward sends a request to the engine that the reducer chose.
func (r *Replayer) forward(h *host, s decider.Send) {
	req := r.open[s.Number]
	e := r.engines[s.Target]
	req.send, req.engine = s, e
	if e.crashed {
		r.scheduleAfter(2*networkDelay, func() {
			r.post(h, decider.AttemptFailed{Number: req.number, Reason: decider.FailureUnreachable, NotRun: true})
		})
		return
	}
	if e.unresponsive {
		r.scheduleAfter(connectTimeout, func() {
			r.post(h, decider.AttemptFailed{Number: req.number, Reason: decider.FailureUnreachable, NotRun: true})
		})
		return
	}
	r.scheduleAfter(networkDelay, func() { e.admit(req) })
}

// admit adds a request to the running ones, or rejects it if the engine has an order to
// execute or has other weights.
func (e *engine) admit(req *request) {
	r := e.replayer
	if e.crashed {
		r.breakOff(req)
		return
	}
	if e.record.Arrive(r.now) != "" {
		r.result.OverLimit++
	}
	if req.fatal && !r.boundAt.IsZero() && r.now.After(r.boundAt) {
		r.result.FatalLate++
	}
	if e.orderedVersion != 0 || req.send.Weights != e.version {
		reason := decider.FailureRefused
		if e.orderedVersion == 0 {
			reason = decider.FailureMisdirected
		}
		r.scheduleAfter(networkDelay, func() {
			r.post(req.host, decider.AttemptFailed{Number: req.number, Reason: reason, NotRun: true, Weights: e.version})
		})
		return
	}
	if !r.versionNamedAt.IsZero() && e.version < r.version && r.now.Sub(r.versionNamedAt) > oldWeightsGrace {
		r.result.OldWeights++
	}
	req.prefillLeft, req.contextTokens = req.prompt.Tokens, req.prompt.Tokens
	e.loadPrefix(req)
	r.result.PrefilledTokens += req.prefillLeft
	e.running = append(e.running, req)
	slices.SortStableFunc(e.running, func(a, b *request) int { return a.send.Urgency - b.send.Urgency })
	e.scheduleStep()
}

// loadPrefix takes the shared parts of a prompt from the engine's cache or imports them
// from stores. Parts whose import would be late, and all others, are prefilled.
func (e *engine) loadPrefix(req *request) {
	r := e.replayer
	req.importsReadyAt = r.now
	end := req.send.SourceUntil
	for i, part := range req.prompt.Shared() {
		key := req.send.Salt + "|" + part.ID
		until, ok := e.cachedUntil[key]
		switch {
		case ok && (strings.HasPrefix(part.ID, "start") || r.now.Before(until)):
			req.prefillLeft -= part.Tokens
		case req.send.Sources[i].IsValid():
			store := r.stores[req.send.Sources[i]]
			duration := time.Duration(float64(part.Tokens) * tokenBits / (store.LinkMbps * bitsPerMegabit) * store.slowFactor * float64(time.Second))
			store.linkFreeAt = latest(store.linkFreeAt, r.now).Add(duration)
			readyAt := store.linkFreeAt.Add(store.TransferLatency)
			if !end.IsZero() && readyAt.After(end) {
				req.importsReadyAt = latest(req.importsReadyAt, end)
				r.result.Discarded++
				continue
			}
			req.importsReadyAt = latest(req.importsReadyAt, readyAt)
			req.prefillLeft -= part.Tokens
			r.result.Imported += part.Tokens
		default:
			e.exportPart(req, i, part)
			continue
		}
		e.cachedUntil[key] = r.now.Add(cacheLifetime)
	}
}

// exportPart caches a part once it is prefilled and exports it to its store.
func (e *engine) exportPart(req *request, i int, part descriptor.Part) {
	r := e.replayer
	key := req.send.Salt + "|" + part.ID
	sink := req.send.Sinks[i]
	const prefillAndExport = 200 * time.Millisecond
	r.scheduleAfter(prefillAndExport, func() {
		e.cachedUntil[key] = r.now.Add(cacheLifetime)
		store := r.stores[sink]
		if store == nil || store.usedTokens+part.Tokens > store.CapacityTokens || store.tokensByPart[[2]string{req.send.Salt, part.ID}] > 0 {
			return
		}
		store.tokensByPart[[2]string{req.send.Salt, part.ID}] = part.Tokens
		store.usedTokens += part.Tokens
		for _, h := range r.hosts {
			r.post(h, decider.PartsChanged{Store: sink, AsOf: r.now, Changes: descriptor.PartChanges{
				Boot: 1, Changes: []descriptor.PartChange{{Held: true, Salt: req.send.Salt, Part: part.ID, Tokens: part.Tokens}},
			}})
		}
	})
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// scheduleStep schedules the next step of the engine if any request is running.
func (e *engine) scheduleStep() {
	if e.stepScheduled || e.isSilent() || len(e.running) == 0 {
		return
	}
	e.stepScheduled = true
	tokens, prefilling := e.nextPrefill()
	decoding := 0
	for _, req := range e.running {
		if req.decoding {
			decoding++
		}
	}
	duration := stepTime + time.Duration(decoding)*stepTimePerSequence
	if tokens > 0 {
		duration += time.Duration(float64(tokens) / prefillTokensPerMs * float64(time.Millisecond))
		duration += time.Duration(float64(tokens) * float64(prefilling.contextTokens-prefilling.prefillLeft) / attentionPairsPerMs * float64(time.Millisecond))
	}
	if r := e.replayer; r.cfg.Paced != nil {
		duration = e.pacedStep(tokens, decoding)
	} else if tokens == 0 && decoding == 0 {
		duration = time.Millisecond // All requests wait for imports or memory.
	}
	e.replayer.scheduleAfter(duration, func() { e.finishStep(tokens, prefilling) })
}

// nextPrefill returns the number of tokens to prefill in the next step, and for which
// request.
func (e *engine) nextPrefill() (int, *request) {
	memory := 0
	for i, req := range e.running {
		memory += req.contextTokens
		if i >= e.replayer.cfg.slots() || memory > e.replayer.cfg.memoryTokens() {
			return 0, nil
		}
		if !req.decoding && !e.replayer.now.Before(req.importsReadyAt) {
			return max(1, min(e.replayer.cfg.chunkTokens(), req.prefillLeft)), req
		}
	}
	return 0, nil
}

func (e *engine) finishStep(tokens int, prefilling *request) {
	e.stepScheduled = false
	if e.isSilent() {
		return
	}
	for _, req := range slices.Clone(e.running) {
		if req.decoding {
			req.outputLeft--
		}
		if req.outputLeft <= 0 {
			e.finish(req)
		}
	}
	if prefilling != nil {
		prefilling.prefillLeft -= tokens
		if prefilling.prefillLeft <= 0 {
			e.beginAnswer(prefilling)
		}
	}
	if e.crashed {
		return
	}
	e.loadWeights()
	e.scheduleStep()
}

func (e *engine) startDecoding(req *request) {
	r := e.replayer
	if req.fatal && r.fatal.Delay == 0 {
		e.crash()
		return
	}
	if req.fatal {
		r.scheduleAfter(r.fatal.Delay, func() {
			if !e.crashed && slices.Contains(e.running, req) {
				e.crash()
			}
		})
	}
	req.decoding, req.events = true, req.outputLeft
	if !req.firstPartSent {
		req.firstPartSent = true
		if !req.fatal {
			r.recordFirstPart(req)
		}
	}
	limit := e.limit
	if limit.Kind == descriptor.LimitUnstated && req.send.Limited {
		limit.Kind = descriptor.LimitNone
	}
	r.scheduleAfter(networkDelay, func() {
		if limit.Kind != descriptor.LimitUnstated {
			r.post(req.host, decider.NoticeReceived{Target: e.id, StartedAt: e.StartedAt, Notice: descriptor.Notice{Limit: limit}})
		}
		r.post(req.host, decider.ResponseStarted{Number: req.number, Weights: e.version, Pace: e.pace()})
	})
}

// recordFirstPart counts the first part of a response as in time or late.
func (r *Replayer) recordFirstPart(req *request) {
	k, span := r.kind(req.path), r.now.Add(networkDelay).Sub(req.arrived)
	k.spans = append(k.spans, span)
	if span <= req.goal {
		r.result.InTime++
	} else {
		r.result.Late++
		k.Late++
	}
}

// isSilent reports whether the engine answers nothing.
func (e *engine) isSilent() bool { return e.unresponsive || e.crashed }

// crash ends the engine's process. Another one starts under another ID later.
func (e *engine) crash() {
	r := e.replayer
	e.crashed = true
	e.abortRunning()
	if r.result.Crashes++; r.result.Crashes == r.crashBound {
		r.boundAt = r.now.Add(contactTime)
	}
	r.scheduleAfter(crashDowntime, func() {
		r.lastEngine++
		d := e.Target
		d.ID, d.StartedAt = fmt.Sprintf("engine-%02d", r.lastEngine), time.UnixMilli(int64(r.lastEngine))
		d.Weights = map[string]int{modelName: e.version}
		r.engines[d.ID] = &engine{Target: d, replayer: r, id: d.ID, version: e.version, cachedUntil: map[string]time.Time{}}
		for _, h := range r.hosts {
			r.post(h, decider.TargetsListed{Targets: []descriptor.Target{d}, Removed: []string{e.id}})
		}
	})
}

// breakOff ends an attempt without a complete answer.
func (r *Replayer) breakOff(req *request) {
	req.decoding = false
	r.scheduleAfter(networkDelay, func() {
		r.post(req.host, decider.AttemptFailed{Number: req.number, Reason: decider.FailureBroken, ResponseStarted: req.firstPartSent})
	})
}

// abortRunning aborts all running requests.
func (e *engine) abortRunning() {
	for _, req := range e.running {
		e.replayer.breakOff(req)
	}
	e.running = nil
}

func (e *engine) finish(req *request) {
	r := e.replayer
	e.running = slices.DeleteFunc(e.running, func(o *request) bool { return o == req })
	delete(r.open, req.number)
	r.scheduleAfter(networkDelay, func() { r.post(req.host, decider.AttemptDone{Number: req.number, Status: 200, Events: req.events}) })
}

// loadWeights loads the ordered weights once no request is running.
func (e *engine) loadWeights() {
	if e.orderedVersion == 0 || e.loading || len(e.running) > 0 {
		return
	}
	e.loading = true
	e.replayer.scheduleAfter(loadTime, func() {
		e.version, e.orderedVersion, e.loading = e.orderedVersion, 0, false
		e.replayer.result.OrderTime += e.replayer.now.Sub(e.orderedAt)
		clear(e.cachedUntil)
	})
}
