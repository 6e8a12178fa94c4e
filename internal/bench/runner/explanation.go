package runner

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"cardamomscale.example/cardamomscale/internal/bench/evaluator"
	"cardamomscale.example/cardamomscale/internal/operator/describer"
	"cardamomscale.example/cardamomscale/internal/standin/assembler"
)

// explainTimeout bounds one daemon's answer.
const explainTimeout = 2 * time.Second

// explain asks the daemons about some requests that were not completed.
func (r *Runner) explain(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: explainTimeout}
	defer client.CloseIdleConnections()
	for _, req := range r.record.Requests {
		if len(r.record.Samples) >= r.cfg.Samples {
			return
		}
		if req.ID == "" || req.At < 0 || req.Ending == evaluator.EndingCompleted {
			continue
		}
		sample := evaluator.Sample{
			ID: req.ID, AtMs: req.At.Milliseconds(), Ending: req.Ending, Failure: req.Failure, Class: req.Class, Plain: req.Plain,
		}
		for _, host := range r.assembly.HostNames() {
			if e, ok := ask(ctx, client, r.assembly.Hosts[host], req); ok {
				sample.Host, sample.Steps = e.Host, e.Steps
				break
			}
		}
		r.record.Samples = append(r.record.Samples, sample)
	}
}

// ask asks one daemon about a request.
func ask(ctx context.Context, client *http.Client, host *assembler.Host, req evaluator.Request) (describer.Explanation, bool) {
	var e describer.Explanation
	url := "http://" + host.Operators.String() + describer.PathExplain + string(req.ID)
	question, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return e, false
	}
	answer, err := client.Do(question)
	if err != nil {
		return e, false
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return e, false
	}
	err = json.NewDecoder(answer.Body).Decode(&e)
	return e, err == nil
}
