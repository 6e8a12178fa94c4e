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

// explainTimeout bounds one request to a daemon.
const explainTimeout = 2 * time.Second

// collectExplanations samples requests that were not completed and fetches the
// explanation of each from the first daemon that has one.
func (r *Runner) collectExplanations(ctx context.Context) {
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
			if e, ok := fetchExplanation(ctx, client, r.assembly.Hosts[host], req); ok {
				sample.Host, sample.Steps = e.Host, e.Steps
				break
			}
		}
		r.record.Samples = append(r.record.Samples, sample)
	}
}

// fetchExplanation fetches a daemon's explanation of a request; it returns false
// if there is none.
func fetchExplanation(ctx context.Context, client *http.Client, host *assembler.Host, req evaluator.Request) (describer.Explanation, bool) {
	var e describer.Explanation
	url := "http://" + host.OperatorAddress.String() + describer.PathExplain + string(req.ID)
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return e, false
	}
	response, err := client.Do(httpRequest)
	if err != nil {
		return e, false
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return e, false
	}
	err = json.NewDecoder(response.Body).Decode(&e)
	return e, err == nil
}
