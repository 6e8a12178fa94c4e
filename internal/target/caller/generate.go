package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/core/identifier"
	"cardamomscale.example/cardamomscale/internal/decision/checker"
	"cardamomscale.example/cardamomscale/internal/decision/reducer"
	"cardamomscale.example/cardamomscale/internal/target/messenger"
)

const (
	// maxFrameBytes limits one line of an engine's response.
	maxFrameBytes = 256 << 10
	// maxRefusalBytes limits a target's refusal.
	maxRefusalBytes = 64 << 10
)

// Sink receives the tokens of a response.
type Sink interface {
	// Started is called on the first frame of an attempt.
	Started(reducer.ResponseStarted)
	// Token handles the token at offset. An error means that the caller disconnected.
	Token(offset int, token string) error
}

// Generate runs a prompt on an engine and returns AttemptDone or AttemptFailed.
func (c *Caller) Generate(ctx context.Context, start reducer.Start, body messenger.GenerateRequest, sink Sink) reducer.Event {
	body.DeadlineMilliseconds = start.Deadline.Sub(c.cfg.Clock.Now()).Milliseconds()
	body.ExpectIncarnation = start.Incarnation
	raw, err := json.Marshal(body)
	if err != nil {
		return reducer.AttemptFailed{Attempt: start.Attempt, ProvenNotRun: true, Reason: reducer.FailureRefused, Detail: err.Error(), Delivered: start.ResumeOffset}
	}
	url := "http://" + start.Address.String() + messenger.PathGenerate
	req, err := http.NewRequest(http.MethodPost, url, io.NopCloser(bytes.NewReader(raw)))
	if err != nil {
		return reducer.AttemptFailed{Attempt: start.Attempt, ProvenNotRun: true, Reason: reducer.FailureRefused, Detail: err.Error(), Delivered: start.ResumeOffset}
	}
	req.ContentLength = int64(len(raw))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(messenger.HeaderRequest, string(start.Attempt.Request))
	x, failed := c.open(ctx, start, req)
	if failed != nil {
		return withDelivered(failed, start.ResumeOffset)
	}
	defer x.close()
	if x.response.StatusCode != http.StatusOK {
		return x.refused(start.ResumeOffset)
	}
	return c.stream(x, sink)
}

func withDelivered(ev reducer.Event, delivered int) reducer.Event {
	if failed, ok := ev.(reducer.AttemptFailed); ok {
		failed.Delivered = delivered
		return failed
	}
	return ev
}

// refused converts a target's refusal to an event.
func (x *exchange) refused(delivered int) reducer.Event {
	var refusal messenger.Refusal
	raw, err := x.buffers.ReadAll(x.response.Body, maxRefusalBytes)
	if err == nil {
		err = json.Unmarshal(raw, &refusal)
	}
	failed := reducer.AttemptFailed{
		Attempt: x.start.Attempt, Reason: reducer.FailureRefused, Delivered: delivered,
		Detail: x.describeRefusal(refusal), Incarnation: incarnationOf(x.response.Header),
		ProvenNotRun: err == nil && refusal.Run == messenger.RunStateNotRun,
	}
	switch refusal.Kind {
	case kindWrongVersion:
		failed.Reason = reducer.FailureVersion
	case kindWrongIncarnation:
		failed.Reason = reducer.FailureWrongIncarnation
	}
	return failed
}

// describeRefusal describes a refusal by status and kind. It leaves out the
// target's message, which may contain a part of the prompt.
func (x *exchange) describeRefusal(refusal messenger.Refusal) string {
	status := fmt.Sprintf("status %d", x.response.StatusCode)
	if specifier.ValidName(refusal.Kind) {
		return status + ", " + refusal.Kind
	}
	return status
}

const (
	// kindWrongVersion is how an engine refuses a weight version that it doesn't have.
	kindWrongVersion = "wrong-version"
	// kindWrongIncarnation is how a target refuses a request for another of its
	// incarnations.
	kindWrongIncarnation = "wrong-incarnation"
)

// stream validates the frames of a response and passes their tokens to sink until
// the frame that is marked as done.
func (c *Caller) stream(x *exchange, sink Sink) reducer.Event {
	ctx := x.response.Request.Context()
	frames := newLineReader(x.response.Body, x.buffers, maxFrameBytes)
	defer frames.close()
	check := checker.New(checker.Config{Attempt: x.start.Attempt, Offset: x.start.ResumeOffset})
	started := false
	for {
		line, err := frames.next()
		if errors.Is(err, io.EOF) {
			err = errors.New("the answer ended without its end mark")
		}
		if err != nil {
			return x.failure(ctx, err, check.Next())
		}
		var frame messenger.GenerateFrame
		if err := json.Unmarshal(line, &frame); err != nil {
			return x.failure(ctx, errors.Wrap(err, "decode frame"), check.Next())
		}
		verdict, err := check.Check(checkerFrame(frame))
		if err != nil {
			return x.failure(ctx, err, check.Next())
		}
		x.resetStallTimer(x.start.Deadline.Sub(c.cfg.Clock.Now()))
		if !started {
			started = true
			sink.Started(reducer.ResponseStarted{Attempt: x.start.Attempt, Incarnation: frame.Incarnation, CachedTokens: frame.CachedTokens})
		}
		switch verdict {
		case checker.VerdictDeliver:
			if err := sink.Token(frame.Offset, frame.Token); err != nil {
				return callerDisconnected(x, err, check.Next())
			}
		case checker.VerdictEnd:
			return reducer.AttemptDone{Attempt: x.start.Attempt, Incarnation: frame.Incarnation, Tokens: frame.Offset}
		}
	}
}

func callerDisconnected(x *exchange, err error, delivered int) reducer.Event {
	return reducer.AttemptFailed{Attempt: x.start.Attempt, Reason: reducer.FailureCallerDisconnected, Detail: err.Error(), Delivered: delivered}
}

func checkerFrame(f messenger.GenerateFrame) checker.Frame {
	return checker.Frame{
		Attempt: identifier.Attempt{Request: f.RequestID, Number: f.Attempt},
		Offset:  f.Offset,
		Done:    f.Done,
	}
}
