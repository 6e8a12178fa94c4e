package server

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/reducer"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

// ErrorBody is the JSON body of all error responses.
type ErrorBody struct {
	Kind string `json:"kind"`
	// Message says what failed and where.
	Message   string             `json:"message"`
	RequestID identifier.Request `json:"request-id"`
	// Run is not-run, unknown or ran.
	Run string `json:"run"`
	// RetryAfterMilliseconds is when to retry; 0 if retrying will not help.
	RetryAfterMilliseconds int64 `json:"retry-after-ms,omitempty"`
}

// refusalStatuses maps kinds of refusal to HTTP status codes.
var refusalStatuses = map[reducer.RefusalKind]int{
	reducer.RefusalUnauthenticated: http.StatusUnauthorized,
	reducer.RefusalForbidden:       http.StatusForbidden,
	reducer.RefusalUnknownService:  http.StatusNotFound,
	reducer.RefusalInvalid:         http.StatusBadRequest,
	reducer.RefusalKeyMissing:      http.StatusBadRequest,
	reducer.RefusalTooLarge:        http.StatusRequestEntityTooLarge,
	reducer.RefusalTeamLimit:       http.StatusTooManyRequests,
	reducer.RefusalOverload:        http.StatusServiceUnavailable,
	reducer.RefusalDeadline:        http.StatusGatewayTimeout,
	reducer.RefusalNotReady:        http.StatusServiceUnavailable,
	reducer.RefusalClaimed:         http.StatusConflict,
	reducer.RefusalKeyMismatch:     http.StatusUnprocessableEntity,
	reducer.RefusalClaimUnsettled:  http.StatusServiceUnavailable,
	reducer.RefusalTargetFailed:    http.StatusBadGateway,
	reducer.RefusalQuarantined:     http.StatusServiceUnavailable,
}

func refusalStatus(kind reducer.RefusalKind) int {
	if status, ok := refusalStatuses[kind]; ok {
		return status
	}
	return http.StatusInternalServerError
}

func refusalBody(e reducer.Refuse) ErrorBody {
	return ErrorBody{Kind: string(e.Kind), Message: e.Message, Run: string(e.Run)}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// writeError writes body, completed with the request ID and, if it is positive,
// retryAfter, and sets the corresponding headers.
func writeError(w http.ResponseWriter, status int, id identifier.Request, body ErrorBody, retryAfter time.Duration) {
	body.RequestID = id
	w.Header().Set(messenger.HeaderRequest, string(id))
	w.Header().Set(messenger.HeaderRun, body.Run)
	if retryAfter > 0 {
		body.RetryAfterMilliseconds = retryAfter.Milliseconds()
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	writeJSON(w, status, body)
}
