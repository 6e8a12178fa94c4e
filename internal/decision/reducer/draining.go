package reducer

// draining is the progress of the daemon's shutdown.
type draining struct {
	draining bool
	drained  bool
}

func (s *State) onDrainStarted() { s.draining.draining = true }

// checkDrained emits Drained once, when a draining daemon has no requests left and
// no cold target that it owns is in use.
func (s *State) checkDrained() {
	if !s.draining.draining || s.drained || len(s.requests) > 0 || s.anyColdInUse() {
		return
	}
	s.drained = true
	s.emit(Drained{})
}
