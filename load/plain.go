package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/lacewingshift/lacewingshift/fake"
	"github.com/lacewingshift/lacewingshift/pause"
	"github.com/lacewingshift/lacewingshift/ticket"
)

// idempotencyKey is the same for all attempts of a request.
func (k *call) idempotencyKey() string {
	return keyForRequest(k.runName, k.request.Index)
}

// keyForRequest returns the idempotency key of the request with index in a run.
func keyForRequest(runName string, index int) string { return fmt.Sprintf("%s-%06d", runName, index) }

// callPlain sends a request to the plain service. If the response to a keyed call
// is lost, it polls the outcome with the same key, which must not run it again.
func (k *call) callPlain(ctx context.Context) Status {
	for polls := 0; ; {
		address, err := k.entries.pick(ctx)
		if err != nil {
			return k.markLost("no_entry")
		}
		body, failure, err := k.sendPlain(ctx, address)
		switch {
		case err == nil && failure == nil:
			return k.checkPlainBody(body)
		case err != nil && notSent(err):
			k.entries.markFailed(address)
			if !k.waitToRetry(ctx, address, &apiError{Code: "not_sent", NotRun: true}) {
				return k.markLost("connection")
			}
		case err != nil && k.request.Kind == KindStatus:
			k.entries.markFailed(address)
			return k.markLost("connection")
		case failure != nil && failure.NotRun:
			if !k.waitToRetry(ctx, address, failure) {
				return k.refusedStatus(polls)
			}
		case failure != nil && failure.Code != "running":
			k.outcome.Code = failure.Code
			return k.failedStatus()
		default:
			if err != nil {
				k.entries.markFailed(address)
			}
			if polls++; polls > maxOutcomePolls || pause.For(ctx, retryDelay) != nil {
				return StatusUnknown
			}
		}
	}
}

// refusedStatus returns StatusRefused only if no earlier attempt may have run.
func (k *call) refusedStatus(polls int) Status {
	if polls > 0 {
		return StatusUnknown
	}
	return StatusRefused
}

// failedStatus returns StatusUnknown for a write, which may have run.
func (k *call) failedStatus() Status {
	if k.request.Kind == KindCommit {
		return StatusUnknown
	}
	return StatusFailed
}

func (k *call) sendPlain(ctx context.Context, address string) (string, *apiError, error) {
	attemptHeader := k.attemptHeader()
	method, path, body := http.MethodGet, k.description.WritePath+"/"+k.idempotencyKey(), ""
	if k.request.Kind == KindCommit {
		method, path, body = http.MethodPost, k.description.WritePath, "{}"
		attemptHeader.Set("Idempotency-Key", k.idempotencyKey())
		attemptHeader.Set("Content-Type", "application/json")
	}
	got, err := k.send(ctx, k.headerTimeout(), method, address, "/v1/services/"+k.description.Plain+path, attemptHeader, body)
	if err != nil {
		return "", nil, err
	}
	if got.StatusCode >= http.StatusBadRequest {
		failure := got.failure()
		k.recordRefusal(failure)
		return "", failure, nil
	}
	defer got.close()
	k.recordHeaders(got)
	data, err := io.ReadAll(io.LimitReader(got.Body, maxResponseBytes))
	return string(data), nil, err
}

func (k *call) checkPlainBody(body string) Status {
	kind := strings.TrimSuffix(strings.TrimPrefix(k.description.WritePath, "/"), "s")
	expected := fake.ReadResponse(kind, k.idempotencyKey())
	if k.request.Kind == KindCommit {
		expected = fake.WriteResponse(kind, k.idempotencyKey())
	}
	if body != expectedPlain(expected) {
		return StatusWrong
	}
	k.progress.firstOutput = k.elapsed()
	k.progress.usage = &ticket.Usage{PlainCalls: 1}
	return StatusComplete
}
