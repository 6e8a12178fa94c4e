package replayer

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"cardamomscale.example/cardamomscale/internal/relay/decider"
	"cardamomscale.example/cardamomscale/internal/relay/descriptor"
)

// The engines' figures, by the deployments' sheets.
const (
	stepTime              = 6080 * time.Microsecond
	stepTimePerSequence   = 41300 * time.Nanosecond
	prefillPerMs          = 110
	attentionPairsPerMs   = 1e6 / 0.325
	prefillChunk          = 1024
	engineMemoryTokens    = 63375
	tokenBits             = 192512 * 8
	loadTime              = 420 * time.Millisecond
	cacheLifetime         = time.Second // Parts are soon evicted by others, but for those that start prompts.
	longOutputTokens      = 13
	meanShortOutputTokens = 73
	shortSpread           = 0.69
	maxShortOutput        = 219
	bitsPerMegabit        = 1e6
)

// request is one caller's request on its way.
type request struct {
	number        int64
	host          *host
	path          string
	prompt        *descriptor.Prompt
	arrived       time.Time
	goal          time.Duration
	send          decider.Send
	prefillLeft   int
	contextTokens int
	outputLeft    int
	decoding      bool
	// firstPartSent is true once the request's first part was counted.
	firstPartSent  bool
	importsReadyAt time.Time
	engine         *engine
}

// engine is the model of one engine.
type engine struct {
	replay  *Replayer
	id      string
	version int
	// orderedVersion is the version under order, 0 if none.
	orderedVersion int
	orderedAt      time.Time
	loading        bool
	orders         int64
	unresponsive   bool
	running        []*request
	// stepScheduled is true while a step is scheduled.
	stepScheduled bool
	cachedUntil   map[string]time.Time
}

// store is the model of one store.
type store struct {
	descriptor.Store
	parts      map[[2]string]int
	usedTokens int
	// linkFreeAt is when the link has sent all that was asked for.
	linkFreeAt time.Time
	slowFactor float64
}

func (r *Replayer) newStores(cfg *descriptor.Config) {
	r.stores = map[netip.AddrPort]*store{}
	for _, svc := range cfg.Services {
		if svc.Store != nil {
			r.stores[svc.Store.Address] = &store{Store: *svc.Store, parts: map[[2]string]int{}, slowFactor: 1}
		}
	}
}

// sendRequest brings one request to a host.
func (r *Replayer) sendRequest(path string) {
	r.lastNumber++
	r.result.Requests++
	h := r.hosts[r.rng.IntN(len(r.hosts))]
	req := &request{number: r.lastNumber, host: h, path: path, arrived: r.now, goal: longGoal, outputLeft: longOutputTokens}
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
	r.post(req.host, decider.RequestArrived{
		Number: req.number, ID: fmt.Sprint(req.number), Host: "h", Path: req.path, Deadline: 5 * time.Second, Prompt: req.prompt,
	})
}

// drawShortOutput draws the length of the answer to a short prompt.
func (r *Replayer) drawShortOutput() int {
	const mean = meanShortOutputTokens / 1.27 // That of the logarithm, for the spread below.
	return max(1, min(maxShortOutput, int(mean*math.Exp(shortSpread*r.rng.NormFloat64()))))
}

func (r *Replayer) recordRefusal(e decider.Refuse) {
	if r.open[e.Number] != nil {
		delete(r.open, e.Number)
		if e.NotRun {
			r.result.Refused++
		} else {
			r.result.Failed++
		}
	}
}

// forward carries a request to its engine.
func (r *Replayer) forward(h *host, s decider.Send) {
	req := r.open[s.Number]
	e := r.engines[s.Target]
	req.send, req.engine = s, e
	if e.unresponsive {
		r.after(connectTimeout, func() {
			r.post(h, decider.AttemptFailed{Number: req.number, Reason: decider.FailureUnreachable, NotRun: true})
		})
		return
	}
	r.after(networkDelay, func() { e.admit(req) })
}

func (e *engine) admit(req *request) {
	r := e.replay
	if e.orderedVersion != 0 || req.send.Weights != e.version {
		reason := decider.FailureRefused
		if e.orderedVersion == 0 {
			reason = decider.FailureMisdirected
		}
		r.after(networkDelay, func() {
			r.post(req.host, decider.AttemptFailed{Number: req.number, Reason: reason, NotRun: true, Weights: e.version})
		})
		return
	}
	if !r.versionNamedAt.IsZero() && e.version < r.version && r.now.Sub(r.versionNamedAt) > oldWeightsGrace {
		r.result.OldWeights++
	}
	req.prefillLeft, req.contextTokens = req.prompt.Tokens, req.prompt.Tokens
	e.loadPrefix(req)
	r.result.Read += req.prefillLeft
	e.running = append(e.running, req)
	slices.SortStableFunc(e.running, func(a, b *request) int { return a.send.Urgency - b.send.Urgency })
	e.scheduleStep()
}

// loadPrefix finds what the engine has of a prompt and imports what stores hold. A part
// that doesn't come in time is read.
func (e *engine) loadPrefix(req *request) {
	r := e.replay
	req.importsReadyAt = r.now
	end := req.send.SourceUntil
	for i, part := range req.prompt.Shared() {
		key := req.send.Salt + "|" + part.ID
		until, ok := e.cachedUntil[key]
		switch {
		case ok && (strings.HasPrefix(part.ID, "start") || r.now.Before(until)):
			req.prefillLeft -= part.Tokens
		case req.send.Sources[i].IsValid():
			st := r.stores[req.send.Sources[i]]
			took := time.Duration(float64(part.Tokens) * tokenBits / (st.LinkMbps * bitsPerMegabit) * st.slowFactor * float64(time.Second))
			st.linkFreeAt = later(st.linkFreeAt, r.now).Add(took)
			whole := st.linkFreeAt.Add(st.FirstByte)
			if !end.IsZero() && whole.After(end) {
				req.importsReadyAt = later(req.importsReadyAt, end)
				r.result.Discarded++
				continue
			}
			req.importsReadyAt = later(req.importsReadyAt, whole)
			req.prefillLeft -= part.Tokens
			r.result.Imported += part.Tokens
		default:
			e.exportPart(req, i, part)
			continue
		}
		e.cachedUntil[key] = r.now.Add(cacheLifetime)
	}
}

// exportPart sends a part to its store once it is read.
func (e *engine) exportPart(req *request, i int, part descriptor.Part) {
	r := e.replay
	key := req.send.Salt + "|" + part.ID
	sink := req.send.Sinks[i]
	const readAndSave = 200 * time.Millisecond
	r.after(readAndSave, func() {
		e.cachedUntil[key] = r.now.Add(cacheLifetime)
		st := r.stores[sink]
		if st == nil || st.usedTokens+part.Tokens > st.Tokens || st.parts[[2]string{req.send.Salt, part.ID}] > 0 {
			return
		}
		st.parts[[2]string{req.send.Salt, part.ID}] = part.Tokens
		st.usedTokens += part.Tokens
		for _, h := range r.hosts {
			r.post(h, decider.PartsChanged{Store: sink, AsOf: r.now, Changes: descriptor.PartChanges{
				Boot: 1, Changes: []descriptor.PartChange{{Held: true, Salt: req.send.Salt, Part: part.ID, Tokens: part.Tokens}},
			}})
		}
	})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// scheduleStep schedules the next step if there is something to do.
func (e *engine) scheduleStep() {
	if e.stepScheduled || e.unresponsive || len(e.running) == 0 {
		return
	}
	e.stepScheduled = true
	read, reader := e.nextPrefill()
	decoding := 0
	for _, req := range e.running {
		if req.decoding {
			decoding++
		}
	}
	took := stepTime + time.Duration(decoding)*stepTimePerSequence
	if read > 0 {
		took += time.Duration(float64(read) / prefillPerMs * float64(time.Millisecond))
		took += time.Duration(float64(read) * float64(reader.contextTokens-reader.prefillLeft) / attentionPairsPerMs * float64(time.Millisecond))
	} else if decoding == 0 {
		took = time.Millisecond // Everything waits for imports or memory.
	}
	e.replay.after(took, func() { e.finishStep(read, reader) })
}

// nextPrefill returns the piece of a prompt that is read next.
func (e *engine) nextPrefill() (int, *request) {
	memory := 0
	for _, req := range e.running {
		memory += req.contextTokens
		if memory > engineMemoryTokens {
			return 0, nil
		}
		if !req.decoding && !e.replay.now.Before(req.importsReadyAt) {
			return max(1, min(prefillChunk, req.prefillLeft)), req
		}
	}
	return 0, nil
}

func (e *engine) finishStep(read int, reader *request) {
	e.stepScheduled = false
	if e.unresponsive {
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
	if reader != nil {
		reader.prefillLeft -= read
		if reader.prefillLeft <= 0 {
			e.startDecoding(reader)
		}
	}
	e.loadWeights()
	e.scheduleStep()
}

func (e *engine) startDecoding(req *request) {
	r := e.replay
	req.decoding = true
	if !req.firstPartSent {
		req.firstPartSent = true
		r.recordFirstPart(req)
	}
	r.after(networkDelay, func() { r.post(req.host, decider.AnswerBegan{Number: req.number, Weights: e.version}) })
}

// recordFirstPart counts the first part of an answer.
func (r *Replayer) recordFirstPart(req *request) {
	if r.now.Add(networkDelay).Sub(req.arrived) <= req.goal {
		r.result.InTime++
	} else {
		r.result.Late++
	}
}

// abortRunning ends all that the engine runs.
func (e *engine) abortRunning() {
	r := e.replay
	for _, req := range e.running {
		req.decoding = false
		r.after(networkDelay, func() {
			r.post(req.host, decider.AttemptFailed{Number: req.number, Reason: decider.FailureBroken, Begun: req.firstPartSent})
		})
	}
	e.running = nil
}

func (e *engine) finish(req *request) {
	r := e.replay
	e.running = slices.DeleteFunc(e.running, func(o *request) bool { return o == req })
	delete(r.open, req.number)
	r.after(networkDelay, func() { r.post(req.host, decider.AttemptDone{Number: req.number, Status: 200}) })
}

// loadWeights changes the weights once nothing runs.
func (e *engine) loadWeights() {
	if e.orderedVersion == 0 || e.loading || len(e.running) > 0 {
		return
	}
	e.loading = true
	e.replay.after(loadTime, func() {
		e.version, e.orderedVersion, e.loading = e.orderedVersion, 0, false
		e.replay.result.OrderTime += e.replay.now.Sub(e.orderedAt)
		clear(e.cachedUntil)
	})
}
