package reply

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// ErrCallerGone means that the caller closed or lost its connection.
var ErrCallerGone = eris.New("the caller left")

// writeTimeout limits each write, so that a caller that no longer reads is
// disconnected.
const writeTimeout = 30 * time.Second

// Stream writes the events with IDs above after as server-sent events, and returns
// when the response has ended. The status has been sent by the time a response turns
// out to be incomplete, so its error is sent as an error event, with the data that
// encodeError returns. Errors: ErrCallerGone, ErrGap.
func Stream(ctx context.Context, w http.ResponseWriter, l *Log, after int64, encodeError func(error) []byte) error {
	header := w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	controller := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	_ = controller.Flush()
	for {
		page, err := l.Next(ctx, after)
		if err != nil {
			if ctx.Err() != nil {
				return eris.Wrap(ErrCallerGone, ctx.Err().Error())
			}
			return err
		}
		buffer := appendEvents(nil, page.Events)
		if page.Done {
			buffer = appendEnd(buffer, page, encodeError)
		}
		_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := w.Write(buffer); err != nil {
			return eris.Wrap(ErrCallerGone, err.Error())
		}
		if err := controller.Flush(); err != nil {
			return eris.Wrap(ErrCallerGone, err.Error())
		}
		if page.Done {
			return nil
		}
		after = page.Events[len(page.Events)-1].ID
	}
}

func appendEvents(buffer []byte, events []Event) []byte {
	for _, e := range events {
		buffer = append(buffer, "id: "...)
		buffer = strconv.AppendInt(buffer, e.ID, 10)
		buffer = appendData(buffer, "\ndata: ", e.Data)
	}
	return buffer
}

func appendData(buffer []byte, prefix string, data []byte) []byte {
	buffer = append(buffer, prefix...)
	buffer = append(buffer, data...)
	return append(buffer, "\n\n"...)
}

func appendEnd(buffer []byte, page Page, encodeError func(error) []byte) []byte {
	if page.Err != nil {
		return appendData(buffer, "event: error\ndata: ", encodeError(page.Err))
	}
	if page.Trailer != nil {
		buffer = appendData(buffer, "data: ", page.Trailer)
	}
	return append(buffer, "data: [DONE]\n\n"...)
}

// Text waits for the end of the response and returns its tokens, joined, and the
// trailer. Errors: the error of an incomplete response, ctx.Err().
func Text(ctx context.Context, l *Log) (string, []byte, error) {
	var text []byte
	after := l.base
	for {
		page, err := l.Next(ctx, after)
		if err != nil {
			return "", nil, err
		}
		for _, e := range page.Events {
			text = append(text, tokenText(e.Data)...)
			after = e.ID
		}
		if page.Done {
			return string(text), page.Trailer, page.Err
		}
	}
}

// tokenText returns the token in the data of an event, "" if there is none.
func tokenText(data []byte) string {
	var chunk struct {
		Token string `json:"token"`
	}
	_ = json.Unmarshal(data, &chunk)
	return chunk.Token
}
