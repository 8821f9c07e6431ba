package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/lacewingshift/lacewingshift/pause"
)

const (
	completionsPath = "/v1/completions"
	// resumeTimeout limits the wait for the headers of a resumed response. It is
	// short because a resume does not queue for capacity.
	resumeTimeout = 5 * time.Second
)

// runCompletion sends a completion and reads its response, resuming it on other
// connections when one breaks.
func (k *call) runCompletion(ctx context.Context) Status {
	for {
		address, err := k.entries.pick(ctx)
		if err != nil {
			return k.markLost("no_entry")
		}
		got, err := k.send(ctx, k.headerTimeout(), http.MethodPost, address, completionsPath, k.attemptHeader(), k.requestBody())
		if err != nil {
			k.entries.markFailed(address)
			if notSent(err) && k.waitToRetry(ctx, address, &apiError{Code: "not_sent", NotRun: true}) {
				continue
			}
			return k.markLost("connection")
		}
		if got.StatusCode != http.StatusOK {
			failure := got.failure()
			k.recordRefusal(failure)
			if k.waitToRetry(ctx, address, failure) {
				continue
			}
			return statusOf(failure)
		}
		k.recordHeaders(got)
		k.read(got)
		return k.finish(ctx, address)
	}
}

// markLost sets the code of the outcome and returns StatusLost.
func (k *call) markLost(code string) Status {
	k.outcome.Code = code
	return StatusLost
}

func statusOf(e *apiError) Status {
	if e.NotRun {
		return StatusRefused
	}
	return StatusFailed
}

func (k *call) requestBody() string {
	data, _ := json.Marshal(map[string]any{
		"model":      k.description.Engine,
		"prompt":     k.request.Prompt(),
		"max_tokens": k.request.MaxTokens,
		"stream":     !k.request.NonStreaming,
		"seed":       k.request.Seed,
		"length":     k.request.Length,
	})
	return string(data)
}

// recordRefusal records in the current attempt that it ended with an error.
func (k *call) recordRefusal(e *apiError) {
	a := k.currentAttempt()
	a.NotRun = e.NotRun
	a.Waited = k.elapsed() - a.Sent
}

// recordHeaders takes the queueing time and the resume token from the headers of
// a successful response.
func (k *call) recordHeaders(got *routerResponse) {
	a := k.currentAttempt()
	a.Waited = k.elapsed() - a.Sent
	if ms, err := strconv.ParseFloat(got.Header.Get("Lacewing-Waited-Ms"), 64); err == nil {
		a.Waited = time.Duration(ms * float64(time.Millisecond))
	}
	if token := got.Header.Get("Lacewing-Resume"); token != "" {
		k.resume = token
	}
}

func (k *call) read(got *routerResponse) {
	defer got.close()
	if !k.request.NonStreaming || got.Header.Get("Content-Type") == "text/event-stream" {
		k.progress.read(got.Body, k.elapsed, got.resetIdleTimer)
		return
	}
	data, err := io.ReadAll(io.LimitReader(got.Body, maxResponseBytes))
	if err == nil {
		k.progress.addNonStreamed(data, k.elapsed())
	}
}

// finish resumes a broken response at other routers until it is complete or
// cannot be resumed.
func (k *call) finish(ctx context.Context, address string) Status {
	for k.outcome.Resumes < maxResumes && ctx.Err() == nil {
		switch {
		case k.progress.wrong:
			return StatusWrong
		case k.progress.isComplete():
			return StatusComplete
		case k.progress.done:
			return StatusWrong
		case k.progress.failure != nil && !k.canResume(k.progress.failure):
			k.outcome.Code = k.progress.failure.Code
			return StatusFailed
		}
		k.outcome.Resumes++
		k.entries.markFailed(address)
		address = k.resumeOnce(ctx)
	}
	if k.progress.isComplete() {
		return StatusComplete
	}
	return StatusIncomplete
}

// canResume reports whether a response that ended with e can be resumed. Without
// a received event there is nothing to resume from; a new request would be a
// second run.
func (k *call) canResume(e *apiError) bool {
	return k.progress.lastID > 0 && !permanentCodes[e.Code]
}

// resumeOnce requests the rest of the response from a router, reads it and
// returns the router's address. If the response ended with an error, it sends the
// completion again with the last event id.
func (k *call) resumeOnce(ctx context.Context) string {
	address, err := k.entries.pick(ctx)
	if err != nil {
		_ = pause.For(ctx, retryDelay)
		return ""
	}
	header := http.Header{}
	header.Set("Last-Event-ID", strconv.FormatInt(k.progress.lastID, 10))
	header.Set("Lacewing-Request-Id", k.currentAttempt().ID)
	method, path, requestBody, wait := http.MethodGet, "/v1/requests/"+k.currentAttempt().ID+"/events", "", resumeTimeout
	if k.progress.failure != nil {
		method, path, requestBody, wait = http.MethodPost, completionsPath, k.requestBody(), k.headerTimeout()
	} else {
		header.Set("Lacewing-Resume", k.resume)
	}
	got, err := k.send(ctx, wait, method, address, path, header, requestBody)
	if err != nil {
		k.entries.markFailed(address)
		_ = pause.For(ctx, retryDelay)
		return address
	}
	k.progress.failure = nil
	if got.StatusCode == http.StatusOK {
		if token := got.Header.Get("Lacewing-Resume"); token != "" {
			k.resume = token
		}
		k.read(got)
		return address
	}
	k.handleResumeError(ctx, address, got.failure())
	return address
}

// handleResumeError handles an error response to a resume. If the stream is gone,
// the next resume sends the completion again. Otherwise it waits for the next one.
func (k *call) handleResumeError(ctx context.Context, address string, e *apiError) {
	k.outcome.Code = e.Code
	if routerCodes[e.Code] {
		k.entries.markFailed(address)
	}
	if e.Code == "stream_gone" || e.Code == "upstream_failed" {
		k.progress.failure = e
		return
	}
	_ = pause.For(ctx, max(retryDelay, time.Duration(e.RetryAfterMS)*time.Millisecond))
}
