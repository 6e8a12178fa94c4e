package descriptor

import "time"

// Field names a value of a configuration independently of its name in the platform's format.
type Field string

// The fields to which findings refer.
const (
	FieldAttempts      Field = "attempts"
	FieldColdRate      Field = "cold rate"
	FieldEngine        Field = "engine"
	FieldGapAim        Field = "gap aim"
	FieldGoal          Field = "goal"
	FieldHeaderTimeout Field = "header time"
	FieldHost          Field = "host"
	FieldIdleTimeout   Field = "idle time"
	FieldKeys          Field = "keys"
	FieldKind          Field = "kind"
	FieldMaxBody       Field = "body size"
	FieldMaxConns      Field = "connections"
	FieldMaxHeader     Field = "header size"
	FieldName          Field = "name"
	FieldPrefix        Field = "prefix"
	FieldPriority      Field = "priority"
	FieldPublic        Field = "public"
	FieldIsolated      Field = "isolated"
	FieldRegions       Field = "regions"
	FieldService       Field = "service"
	FieldShares        Field = "shares"
	FieldStore         Field = "store"
	FieldTimeout       Field = "timeout"
)

// Position is where a configuration has a value: its key in the text, such as routes[2].name, and the line, 0 if unknown.
type Position struct {
	Key  string
	Line int
}

// DraftValue is one value of an entry as it is written, keys of teams as digests.
type DraftValue struct {
	Position
	Name, Text string
	// Field is empty for values that no finding refers to.
	Field Field
}

// DraftEntry is what entries of all kinds have in common.
type DraftEntry struct {
	Position
	Name   string
	Values []DraftValue
	// Partial is true if some values can't be decoded; these are zero. Hosts leave out such an entry.
	Partial bool
}

// At returns the position of a field, or of the entry if it lacks the field.
func (e *DraftEntry) At(field Field) Position {
	for _, v := range e.Values {
		if v.Field == field {
			return v.Position
		}
	}
	return e.Position
}

// DraftProblem is a part of a configuration that can't be decoded.
type DraftProblem struct {
	Position
	Message string
}

// DraftRoute is a route as it is written.
type DraftRoute struct {
	DraftEntry
	Route
	// WantedAttempts is the written number of attempts, which Route raises to at least 1.
	WantedAttempts int
	GapAim         time.Duration
}

// DraftService is a service as it is written.
type DraftService struct {
	DraftEntry
	Service
}

// DraftKey is a bearer key of a team.
type DraftKey struct {
	Position
	Key string
}

// DraftTeam is a team as it is written.
type DraftTeam struct {
	DraftEntry
	Keys     []DraftKey
	Isolated bool
}

// DraftLimits are the limits as they are written.
type DraftLimits struct {
	DraftEntry
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout, IdleTimeout   time.Duration
}

// Draft is a configuration that isn't in force yet. Unlike Config, it keeps what Config replaces or leaves out, such as
// repeated entries, and the parts that can be decoded even if others can't.
type Draft struct {
	Version   int64
	VersionAt Position
	Routes    []DraftRoute
	Services  []DraftService
	Teams     []DraftTeam
	// TeamsAt is the position of the list of teams, TeamsListed true if there is one. It may be empty.
	TeamsAt     Position
	TeamsListed bool
	Limits      DraftLimits
	Problems    []DraftProblem
	// Repeated are names that an object has more than once, of which only the last counts.
	Repeated []Position
	// VersionRead, RoutesWhole, ServicesWhole, TeamsWhole and LimitsRead are false if the part or an entry in it can't be
	// decoded.
	VersionRead, RoutesWhole, ServicesWhole, TeamsWhole, LimitsRead bool
}
