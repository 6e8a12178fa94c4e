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
	stepTime       = 6080 * time.Microsecond
	stepEach       = 41300 * time.Nanosecond
	readPerMilli   = 110
	pairsPerMilli  = 1e6 / 0.325
	pieceTokens    = 1024
	engineMemory   = 63375
	tokenBits      = 192512 * 8
	loadTime       = 420 * time.Millisecond
	cacheFor       = time.Second // Parts are soon evicted by others, but for those that start prompts.
	longOutput     = 13
	shortOutput    = 73
	shortSpread    = 0.69
	mostOutput     = 219
	bitsPerMegabit = 1e6
)

// request is one caller's request on its way.
type request struct {
	number  int64
	host    *host
	path    string
	prompt  *descriptor.Prompt
	arrived time.Time
	goal    time.Duration
	send    decider.Send
	unread  int
	context int
	output  int
	begun   bool
	// counted is true once the request's first part was counted.
	counted   bool
	importing time.Time
	engine    *engine
}

// engine is the model of one engine.
type engine struct {
	replay  *Replayer
	id      string
	version int
	// wanted is the version under order, 0 if none.
	wanted  int
	ordered time.Time
	loading bool
	orders  int64
	dark    bool
	running []*request
	// stepping is true while a step is scheduled.
	stepping bool
	cached   map[string]time.Time
}

// store is the model of one store.
type store struct {
	descriptor.Store
	held map[[2]string]int
	used int
	// free is when the link has sent all that was asked for.
	free time.Time
	slow float64
}

func (r *Replayer) newStores(cfg *descriptor.Config) {
	r.stores = map[netip.AddrPort]*store{}
	for _, svc := range cfg.Services {
		if svc.Store != nil {
			r.stores[svc.Store.Address] = &store{Store: *svc.Store, held: map[[2]string]int{}, slow: 1}
		}
	}
}

// request brings one request to a host.
func (r *Replayer) request(path string) {
	r.numbers++
	r.result.Requests++
	h := r.hosts[r.rng.IntN(len(r.hosts))]
	req := &request{number: r.numbers, host: h, path: path, arrived: r.now, goal: longGoal, output: longOutput}
	subject := r.rng.IntN(r.cfg.Subjects)
	req.prompt = &descriptor.Prompt{Model: modelName, Tokens: 9190, MaxOutput: longOutput, Parts: []descriptor.Part{
		{ID: fmt.Sprint("start-", subject%4), Tokens: 2520}, {ID: fmt.Sprint("subject-", subject), Tokens: 5000}, {ID: "own", Tokens: 1670},
	}}
	if path == "/short/" {
		req.goal, req.output = shortGoal, r.shortOutput()
		req.prompt = &descriptor.Prompt{Model: modelName, Tokens: 827, MaxOutput: shortOutput, Parts: []descriptor.Part{
			{ID: fmt.Sprint("opening-", subject%40), Tokens: 119}, {ID: fmt.Sprint("session-", subject), Tokens: 531}, {ID: "own", Tokens: 177},
		}}
	}
	r.open[req.number] = req
	r.tell(req.host, decider.RequestArrived{
		Number: req.number, ID: fmt.Sprint(req.number), Host: "h", Path: req.path, Deadline: 5 * time.Second, Prompt: req.prompt,
	})
}

// shortOutput draws the length of the answer to a short prompt.
func (r *Replayer) shortOutput() int {
	const mean = shortOutput / 1.27 // That of the logarithm, for the spread below.
	return max(1, min(mostOutput, int(mean*math.Exp(shortSpread*r.rng.NormFloat64()))))
}

func (r *Replayer) refused(e decider.Refuse) {
	if r.open[e.Number] != nil {
		delete(r.open, e.Number)
		if e.NotRun {
			r.result.Refused++
		} else {
			r.result.Failed++
		}
	}
}

// send carries a request to its engine.
func (r *Replayer) send(h *host, s decider.Send) {
	req := r.open[s.Number]
	e := r.engines[s.Target]
	req.send, req.engine = s, e
	if e.dark {
		r.after(connectTimeout, func() {
			r.tell(h, decider.AttemptFailed{Number: req.number, Reason: decider.FailureUnreachable, NotRun: true})
		})
		return
	}
	r.after(networkDelay, func() { e.admit(req) })
}

func (e *engine) admit(req *request) {
	r := e.replay
	if e.wanted != 0 || req.send.Weights != e.version {
		reason := decider.FailureRefused
		if e.wanted == 0 {
			reason = decider.FailureMisdirected
		}
		r.after(networkDelay, func() {
			r.tell(req.host, decider.AttemptFailed{Number: req.number, Reason: reason, NotRun: true, Weights: e.version})
		})
		return
	}
	if !r.named.IsZero() && e.version < r.version && r.now.Sub(r.named) > oldWeightsAfter {
		r.result.OldWeights++
	}
	req.unread, req.context = req.prompt.Tokens, req.prompt.Tokens
	e.fetch(req)
	r.result.Read += req.unread
	e.running = append(e.running, req)
	slices.SortStableFunc(e.running, func(a, b *request) int { return a.send.Urgency - b.send.Urgency })
	e.step()
}

// fetch finds what the engine has of a prompt and imports what stores hold. A part
// that doesn't come in time is read.
func (e *engine) fetch(req *request) {
	r := e.replay
	req.importing = r.now
	end := req.send.SourceUntil
	for i, part := range req.prompt.Shared() {
		key := req.send.Salt + "|" + part.ID
		until, ok := e.cached[key]
		switch {
		case ok && (strings.HasPrefix(part.ID, "start") || r.now.Before(until)):
			req.unread -= part.Tokens
		case req.send.Sources[i].IsValid():
			st := r.stores[req.send.Sources[i]]
			took := time.Duration(float64(part.Tokens) * tokenBits / (st.LinkMbps * bitsPerMegabit) * st.slow * float64(time.Second))
			st.free = later(st.free, r.now).Add(took)
			whole := st.free.Add(st.FirstByte)
			if !end.IsZero() && whole.After(end) {
				req.importing = later(req.importing, end)
				r.result.Discarded++
				continue
			}
			req.importing = later(req.importing, whole)
			req.unread -= part.Tokens
			r.result.Imported += part.Tokens
		default:
			e.save(req, i, part)
			continue
		}
		e.cached[key] = r.now.Add(cacheFor)
	}
}

// save sends a part to its store once it is read.
func (e *engine) save(req *request, i int, part descriptor.Part) {
	r := e.replay
	key := req.send.Salt + "|" + part.ID
	sink := req.send.Sinks[i]
	const readAndSave = 200 * time.Millisecond
	r.after(readAndSave, func() {
		e.cached[key] = r.now.Add(cacheFor)
		st := r.stores[sink]
		if st == nil || st.used+part.Tokens > st.Tokens || st.held[[2]string{req.send.Salt, part.ID}] > 0 {
			return
		}
		st.held[[2]string{req.send.Salt, part.ID}] = part.Tokens
		st.used += part.Tokens
		for _, h := range r.hosts {
			r.tell(h, decider.PartsChanged{Store: sink, AsOf: r.now, Changes: descriptor.PartChanges{
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

// step schedules the next step if there is something to do.
func (e *engine) step() {
	if e.stepping || e.dark || len(e.running) == 0 {
		return
	}
	e.stepping = true
	read, reader := e.nextPiece()
	decoding := 0
	for _, req := range e.running {
		if req.begun {
			decoding++
		}
	}
	took := stepTime + time.Duration(decoding)*stepEach
	if read > 0 {
		took += time.Duration(float64(read) / readPerMilli * float64(time.Millisecond))
		took += time.Duration(float64(read) * float64(reader.context-reader.unread) / pairsPerMilli * float64(time.Millisecond))
	} else if decoding == 0 {
		took = time.Millisecond // Everything waits for imports or memory.
	}
	e.replay.after(took, func() { e.stepped(read, reader) })
}

// nextPiece returns the piece of a prompt that is read next.
func (e *engine) nextPiece() (int, *request) {
	memory := 0
	for _, req := range e.running {
		memory += req.context
		if memory > engineMemory {
			return 0, nil
		}
		if !req.begun && !e.replay.now.Before(req.importing) {
			return max(1, min(pieceTokens, req.unread)), req
		}
	}
	return 0, nil
}

func (e *engine) stepped(read int, reader *request) {
	e.stepping = false
	if e.dark {
		return
	}
	for _, req := range slices.Clone(e.running) {
		if req.begun {
			req.output--
		}
		if req.output <= 0 {
			e.finish(req)
		}
	}
	if reader != nil {
		reader.unread -= read
		if reader.unread <= 0 {
			e.begin(reader)
		}
	}
	e.load()
	e.step()
}

func (e *engine) begin(req *request) {
	r := e.replay
	req.begun = true
	if !req.counted {
		req.counted = true
		r.count(req)
	}
	r.after(networkDelay, func() { r.tell(req.host, decider.AnswerBegan{Number: req.number, Weights: e.version}) })
}

// count counts the first part of an answer.
func (r *Replayer) count(req *request) {
	if r.now.Add(networkDelay).Sub(req.arrived) <= req.goal {
		r.result.InTime++
	} else {
		r.result.Late++
	}
}

// breakOff ends all that the engine runs.
func (e *engine) breakOff() {
	r := e.replay
	for _, req := range e.running {
		req.begun = false
		r.after(networkDelay, func() {
			r.tell(req.host, decider.AttemptFailed{Number: req.number, Reason: decider.FailureBroken, Begun: req.counted})
		})
	}
	e.running = nil
}

func (e *engine) finish(req *request) {
	r := e.replay
	e.running = slices.DeleteFunc(e.running, func(o *request) bool { return o == req })
	delete(r.open, req.number)
	r.after(networkDelay, func() { r.tell(req.host, decider.AttemptDone{Number: req.number, Status: 200}) })
}

// load changes the weights once nothing runs.
func (e *engine) load() {
	if e.wanted == 0 || e.loading || len(e.running) > 0 {
		return
	}
	e.loading = true
	e.replay.after(loadTime, func() {
		e.version, e.wanted, e.loading = e.wanted, 0, false
		e.replay.result.UnderOrder += e.replay.now.Sub(e.ordered)
		clear(e.cached)
	})
}
