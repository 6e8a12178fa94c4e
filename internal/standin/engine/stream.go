package engine

import (
	"encoding/json"
	"net/http"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/standin/server"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// strangeRequest is the request ID of crossed frames when no other request runs.
const strangeRequest identifier.Request = "another-request"

// stream sends the answer of one run.
type stream struct {
	engine *Engine
	run    *run
	w      http.ResponseWriter
	r      *http.Request
	// sent is the offset behind the last token that was sent.
	sent   int
	opened bool
}

// serve returns when the run has ended or the caller is gone.
func (s *stream) serve() {
	defer s.engine.end(s.run, endingCancelled)
	for {
		select {
		case <-s.run.wake:
		case <-s.r.Context().Done():
			return
		}
		p := s.engine.progress(s.run, s.sent)
		if !s.send(p) || p.ending != endingNone {
			return
		}
	}
}

// progress returns what the handler of r, which has sent tokens up to from,
// sends next.
func (e *Engine) progress(r *run, from int) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := progress{from: from, to: r.produced, ending: r.ending, started: r.started, cachedTokens: r.cachedTokens}
	if from == r.req.ResumeOffset || r.ending == endingDone {
		p.load = e.load()
	}
	if r.fault == streamCrossed {
		p.other = e.otherFrame(r)
	}
	return p
}

// otherFrame returns a frame of another run, as a confused engine sends it.
func (e *Engine) otherFrame(r *run) messenger.GenerateFrame {
	frame := messenger.GenerateFrame{RequestID: strangeRequest, Offset: r.produced, Token: " crossed", Incarnation: r.incarnation}
	for other := range e.decoding {
		if other == r || other.req.RequestID == r.req.RequestID {
			continue
		}
		frame.RequestID = other.req.RequestID
		frame.Attempt = other.req.Attempt
		frame.Token = other.answer.Token(frame.Offset)
		break
	}
	return frame
}

// send writes p and returns false when the answer is over.
func (s *stream) send(p progress) bool {
	if p.ending == endingCut {
		server.Abort(s.r)
	}
	if !s.opened && p.ending != endingNone && p.ending != endingDone {
		s.refuse(p)
		return false
	}
	s.open()
	for offset := p.from; offset < p.to; offset++ {
		if !s.sendToken(p, offset) {
			return false
		}
	}
	s.sent = p.to
	if p.ending == endingDone {
		s.engine.count(func(stats *Stats) { stats.Completed++ })
		done := s.frame(p.to)
		done.Done = true
		done.Load = &p.load
		return s.write(done) && s.flush()
	}
	return s.flush()
}

// sendToken writes the frame of one token, with the fault of this answer.
func (s *stream) sendToken(p progress, offset int) bool {
	frame := s.frame(offset)
	frame.Token = s.run.answer.Token(offset)
	if offset == s.run.req.ResumeOffset {
		frame.CachedTokens = p.cachedTokens
		frame.Load = &p.load
	}
	middle := offset == (s.run.req.ResumeOffset+s.run.req.MaxTokens)/2
	switch {
	case s.run.fault == streamTruncated && middle:
		_ = s.flush()
		return false
	case s.run.fault == streamReset && middle:
		_ = s.flush()
		server.Abort(s.r)
	case s.run.fault == streamDuplicated:
		if !s.write(frame) {
			return false
		}
	case s.run.fault == streamCrossed && middle:
		return s.write(p.other) && s.write(frame)
	}
	return s.write(frame)
}

// open writes the headers before the first frame.
func (s *stream) open() {
	if s.opened {
		return
	}
	s.opened = true
	server.SetIncarnation(s.w, s.run.incarnation)
	s.w.Header().Set(messenger.HeaderRequest, string(s.run.req.RequestID))
	s.w.Header().Set("Content-Type", "application/x-ndjson")
	s.w.WriteHeader(http.StatusOK)
}

// refuse answers for a run that ended before its first token.
func (s *stream) refuse(p progress) {
	state := messenger.RunNot
	if p.started {
		state = messenger.RunUnknown
	}
	switch p.ending {
	case endingDeadline:
		s.engine.refuseRun(s.w, KindDeadline, "the deadline passed", state)
	case endingWrongVersion:
		s.engine.refuseRun(s.w, KindWrongVersion, "the weights were unloaded", state)
	default:
		s.engine.refuseRun(s.w, KindCancelled, "the run was cancelled", state)
	}
}

func (s *stream) frame(offset int) messenger.GenerateFrame {
	return messenger.GenerateFrame{
		RequestID:   s.run.req.RequestID,
		Attempt:     s.run.req.Attempt,
		Offset:      offset,
		Incarnation: s.run.incarnation,
	}
}

func (s *stream) write(frame messenger.GenerateFrame) bool {
	encoded, err := json.Marshal(frame)
	if err != nil {
		return false
	}
	_, err = s.w.Write(append(encoded, '\n'))
	return err == nil
}

func (s *stream) flush() bool {
	return http.NewResponseController(s.w).Flush() == nil
}
