package engine

import (
	"encoding/json"
	"net/http"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/standin/server"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// foreignRequestID is the request ID in foreign frames if no other request runs.
const foreignRequestID identifier.Request = "another-request"

// stream sends the answer of one run as one JSON frame per line.
type stream struct {
	engine *Engine
	run    *run
	w      http.ResponseWriter
	r      *http.Request
	// sent is the offset after the last token that was sent.
	sent   int
	opened bool
}

// serve sends frames until the run has ended or the caller has disconnected, which
// cancels the run.
func (s *stream) serve() {
	defer s.engine.endRun(s.run, endCancelled)
	for {
		select {
		case <-s.run.wake:
		case <-s.r.Context().Done():
			return
		}
		u := s.engine.nextUpdate(s.run, s.sent)
		if !s.send(u) || u.endReason != endNone {
			return
		}
	}
}

// nextUpdate returns what the handler of r has to send next if it has sent the
// tokens before offset from.
func (e *Engine) nextUpdate(r *run, from int) streamUpdate {
	e.mu.Lock()
	defer e.mu.Unlock()
	u := streamUpdate{from: from, to: r.produced, endReason: r.endReason, started: r.started, cachedTokens: r.cachedTokens}
	if from == r.req.ResumeOffset || r.endReason == endDone {
		u.load = e.loadReport()
	}
	if r.fault == faultCrossed {
		u.foreignFrame = e.foreignFrame(r)
	}
	return u
}

// foreignFrame returns a frame of another run, to simulate an engine that mixes
// up its streams. The caller holds mu.
func (e *Engine) foreignFrame(r *run) messenger.GenerateFrame {
	frame := messenger.GenerateFrame{RequestID: foreignRequestID, Offset: r.produced, Token: " crossed", Incarnation: r.incarnation}
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

// send writes u and returns false if the answer ends. It resets the connection if
// the engine has restarted.
func (s *stream) send(u streamUpdate) bool {
	if u.endReason == endRestart {
		server.Abort(s.r)
	}
	if !s.opened && u.endReason != endNone && u.endReason != endDone {
		s.refuse(u)
		return false
	}
	s.open()
	for offset := u.from; offset < u.to; offset++ {
		if !s.sendToken(u, offset) {
			return false
		}
	}
	s.sent = u.to
	if u.endReason == endDone {
		s.engine.updateStats(func(stats *Stats) { stats.Completed++ })
		done := s.newFrame(u.to)
		done.Done = true
		done.Load = &u.load
		return s.write(done) && s.flush()
	}
	return s.flush()
}

// sendToken writes the frame of one token and injects the fault of this answer.
func (s *stream) sendToken(u streamUpdate, offset int) bool {
	frame := s.newFrame(offset)
	frame.Token = s.run.answer.Token(offset)
	if offset == s.run.req.ResumeOffset {
		frame.CachedTokens = u.cachedTokens
		frame.Load = &u.load
	}
	middle := offset == (s.run.req.ResumeOffset+s.run.req.MaxTokens)/2
	switch {
	case s.run.fault == faultTruncated && middle:
		_ = s.flush()
		return false
	case s.run.fault == faultReset && middle:
		_ = s.flush()
		server.Abort(s.r)
	case s.run.fault == faultDuplicated:
		if !s.write(frame) {
			return false
		}
	case s.run.fault == faultCrossed && middle:
		return s.write(u.foreignFrame) && s.write(frame)
	}
	return s.write(frame)
}

// open writes the response headers, once.
func (s *stream) open() {
	if s.opened {
		return
	}
	s.opened = true
	server.SetIncarnationHeader(s.w, s.run.incarnation)
	s.w.Header().Set(messenger.HeaderRequest, string(s.run.req.RequestID))
	s.w.Header().Set("Content-Type", "application/x-ndjson")
	s.w.WriteHeader(http.StatusOK)
}

// refuse writes the refusal of a run that ended before anything was sent.
func (s *stream) refuse(u streamUpdate) {
	state := messenger.RunStateNotRun
	if u.started {
		state = messenger.RunStateUnknown
	}
	switch u.endReason {
	case endDeadline:
		s.engine.writeRefusal(s.w, KindDeadline, "the deadline passed", state)
	case endWrongVersion:
		s.engine.writeRefusal(s.w, KindWrongVersion, "the weights were unloaded", state)
	default:
		s.engine.writeRefusal(s.w, KindCancelled, "the run was cancelled", state)
	}
}

func (s *stream) newFrame(offset int) messenger.GenerateFrame {
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
