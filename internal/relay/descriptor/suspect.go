package descriptor

// Suspect identifies what may crash the targets that run it: a part of the prompts to a model, or a whole
// request of a caller.
type Suspect struct {
	// Model and Part identify a part of prompts. They are empty for a whole request.
	Model string `cbor:"1,keyasint,omitempty"`
	Part  string `cbor:"2,keyasint,omitempty"`
	// Team is the caller of a whole request, empty on public routes, and Fingerprint is the same whenever
	// that caller repeats it.
	Team        string `cbor:"6,keyasint,omitempty"`
	Fingerprint string `cbor:"7,keyasint,omitempty"`
}

// IsRequest reports whether the suspect is a whole request.
func (x Suspect) IsRequest() bool { return x.Fingerprint != "" }

// IsValid reports whether the suspect identifies anything.
func (x Suspect) IsValid() bool { return x.IsRequest() || x.Part != "" }

// Kind returns what the suspect is, for the log.
func (x Suspect) Kind() string {
	if x.IsRequest() {
		return "request"
	}
	return "part"
}

// String returns MODEL/PART, or request:TEAM/FINGERPRINT.
func (x Suspect) String() string {
	if x.IsRequest() {
		return "request:" + x.Team + "/" + x.Fingerprint
	}
	return x.Model + "/" + x.Part
}

// KeptSuspect is what the platform's store has of a suspect in quarantine.
type KeptSuspect struct {
	Suspect
	// Trials is the number of trials that were claimed; 0 for parts, whose trials aren't claimed.
	Trials int
}
