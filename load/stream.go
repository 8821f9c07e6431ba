package load

import (
	"bufio"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/lacewingshift/lacewingshift/fake"
	"github.com/lacewingshift/lacewingshift/ticket"
)

// tokenArrival is a number of tokens that arrived together.
type tokenArrival struct {
	at     time.Duration
	tokens int
}

// progress is the part of one response received so far over all connections.
type progress struct {
	remaining   string // expected text that has not arrived yet
	wrong       bool   // data differs from the expected text or is malformed
	lastID      int64  // id of the last event with a token
	firstOutput time.Duration
	tokens      []tokenArrival
	usage       *ticket.Usage
	failure     *apiError // from an error event, which ends the response
	done        bool      // the end marker arrived
}

func newProgress(r Request) *progress {
	return &progress{remaining: fake.CompletionText(r.Seed, r.Length)}
}

// isComplete reports whether the whole response and its end marker arrived.
func (p *progress) isComplete() bool {
	return p.done && p.remaining == "" && !p.wrong
}

// addText compares the next part of the response with the expected text.
func (p *progress) addText(part string, now time.Duration) {
	rest, ok := strings.CutPrefix(p.remaining, part)
	if !ok {
		p.wrong = true
		return
	}
	p.remaining = rest
	if p.firstOutput == 0 {
		p.firstOutput = now
	}
	// Each token of the fake engine ends with a space.
	p.tokens = append(p.tokens, tokenArrival{now, strings.Count(part, " ")})
}

// chunk is the data of one event: a token, the final usage, or an error.
type chunk struct {
	Token   string        `json:"token"`
	Usage   *ticket.Usage `json:"usage"`
	Error   *apiError     `json:"error"`
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// read consumes server-sent events until the response ends or fails or the
// connection breaks. It calls onLine for each line.
func (p *progress) read(body io.Reader, elapsed func() time.Duration, onLine func()) {
	reader := bufio.NewReaderSize(body, 8<<10)
	id := p.lastID
	for !p.done && p.failure == nil {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		onLine()
		line = strings.TrimRight(line, "\r\n")
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			id, _ = strconv.ParseInt(text, 10, 64)
		}
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			p.handleEvent(data, id, elapsed())
		}
	}
}

func (p *progress) handleEvent(data string, id int64, now time.Duration) {
	if data == "[DONE]" {
		p.done = true
		return
	}
	var c chunk
	if json.Unmarshal([]byte(data), &c) != nil {
		p.wrong = true
		return
	}
	if c.Error != nil {
		p.failure = c.Error
		return
	}
	if c.Token != "" {
		p.addText(c.Token, now)
		p.lastID = id
	}
	if c.Usage != nil {
		p.usage = c.Usage
	}
}

// addNonStreamed handles a response that was not streamed.
func (p *progress) addNonStreamed(body []byte, now time.Duration) {
	var c chunk
	if json.Unmarshal(body, &c) != nil || len(c.Choices) != 1 {
		p.wrong = true
		return
	}
	p.addText(c.Choices[0].Text, now)
	p.usage = c.Usage
	p.done = true
}
