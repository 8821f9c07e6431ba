package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a caller received.
type answer struct {
	status int
	seal   string
	pieces []string // data of the events, in order
	whole  bool     // the answer came to its proper end
	cause  string   // why it did not
}

func (a answer) String() string {
	return fmt.Sprintf("status %d, seal %q, %d events [%s], whole %t %s", a.status, a.seal, len(a.pieces), strings.Join(a.pieces, " "), a.whole, a.cause)
}

const callerDeadline = 12 * time.Second

// ask sends a request for a stream to a router and reads the answer. With last > 0 the
// stream is resumed after that event. It leaves after leaveAfter events, 0 for never.
func (d *deployment) ask(router int, id string, last, leaveAfter int) answer {
	connection, err := d.dial(router)
	if err != nil {
		return answer{cause: err.Error()}
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(callerDeadline))
	resume := ""
	if last > 0 {
		resume = fmt.Sprintf("Last-Event-Id: %d\r\n", last)
	}
	d.note("caller sends %s to router-%d, last event %d", id, router, last)
	_, err = fmt.Fprintf(connection, "POST /survey/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n%sModel: m\r\nToken-Count: 900,100\r\nPrompt-Prefix: aa01:500,%x:400\r\nDeadline: %d\r\nAuthorization: Bearer %s\r\nContent-Length: 2\r\n\r\n{}",
		host, id, resume, id, callerDeadline.Milliseconds(), apiKey)
	if err != nil {
		return answer{cause: err.Error()}
	}
	a := read(connection, leaveAfter)
	d.note("caller of %s: %v", id, a)
	return a
}

func read(connection net.Conn, leaveAfter int) answer {
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return answer{cause: err.Error()}
	}
	defer response.Body.Close()
	a := answer{status: response.StatusCode, seal: response.Header.Get("Response-Seal")}
	text, buffer := "", make([]byte, 4096)
	for {
		n, err := response.Body.Read(buffer)
		text += string(buffer[:n])
		a.pieces = pieces(text)
		if leaveAfter > 0 && len(a.pieces) >= leaveAfter {
			a.pieces, a.cause = a.pieces[:leaveAfter], "caller left"
			_ = connection.Close()
			return a
		}
		if errors.Is(err, io.EOF) {
			a.whole = true
			return a
		}
		if err != nil {
			a.cause = err.Error()
			return a
		}
	}
}

// pieces returns the data of the whole events in a text.
func pieces(text string) []string {
	text = strings.ReplaceAll(strings.ReplaceAll(text, "\r\n", "\n"), "\r", "\n")
	var found []string
	blocks := strings.Split(text, "\n\n")
	for _, block := range blocks[:len(blocks)-1] {
		for line := range strings.SplitSeq(block, "\n") {
			if data, isData := strings.CutPrefix(line, "data: piece "); isData {
				found = append(found, data)
			}
		}
	}
	return found
}

// background sends status requests until stop is closed, ten a second, and returns how many
// were answered.
func (d *deployment) background(stop <-chan struct{}) (answered int) {
	client := http.Client{Timeout: 3 * time.Second}
	for i := 0; ; i++ {
		select {
		case <-stop:
			client.CloseIdleConnections()
			return answered
		case <-time.After(100 * time.Millisecond):
		}
		request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s.%d:8783/status/x", d.network, 1+i%routers), nil)
		if err != nil {
			continue
		}
		request.Host = host
		request.Header.Set("Request-Id", fmt.Sprintf("s%d", i))
		request.Header.Set("Deadline", "2500")
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			answered++
		}
	}
}

// post sends one request that changes something and returns the status, 0 without an answer.
func (d *deployment) post(router int, id, path string) int {
	connection, err := d.dial(router)
	if err != nil {
		d.note("caller of %s: %v", id, err)
		return 0
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(callerDeadline))
	d.note("caller sends %s to router-%d: POST %s", id, router, path)
	_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline: 5000\r\nContent-Length: 2\r\n\r\n{}", path, host, id)
	if err != nil {
		d.note("caller of %s: %v", id, err)
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		d.note("caller of %s: %v", id, err)
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	d.note("caller of %s: status %d, seal %q", id, response.StatusCode, response.Header.Get("Response-Seal"))
	return response.StatusCode
}
