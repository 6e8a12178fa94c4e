package reducer

// draining holds whether the daemon is shutting down.
type draining struct {
	draining bool
	drained  bool
}

func (s *State) onDrainStarted() { s.draining.draining = true }

// checkDrained reports once that no request is left after a drain started.
func (s *State) checkDrained() {
	if !s.draining.draining || s.drained || len(s.requests) > 0 || s.coldInUse() {
		return
	}
	s.drained = true
	s.emit(Drained{})
}
