package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Events of each stream of the model runners.
const streamEvents = 20

// runRunner serves as a model runner until it is killed. It writes a line to standard
// output when a request begins to run.
func runRunner(args []string) {
	f := flag.NewFlagSet("runner", flag.ExitOnError)
	id := f.String("id", "", "id in the store")
	address := f.String("address", "", "listen address")
	lineEnd := f.String("eol", "lf", "line ends of events: lf or cr")
	comments := f.Bool("comments", false, "begin each event with a comment line")
	plain := f.Bool("plain", false, "serve as an application server")
	work := f.Duration("work", 20*time.Millisecond, "time for a request to an application server")
	framing := f.String("framing", "chunks", "chunks, or resumed-none: answers to resumed streams end with their connection")
	prefill := f.Duration("prefill", 300*time.Millisecond, "time between the head and the first event")
	_ = f.Parse(args)
	listener, err := net.Listen("tcp", *address)
	if err != nil {
		fmt.Println("cannot listen:", err)
		return
	}
	grey := make(chan os.Signal, 1)
	signal.Notify(grey, syscall.SIGUSR1, syscall.SIGUSR2)
	r := runner{id: *id, grey: &atomic.Bool{}, unframed: *framing == "resumed-none", comments: *comments, plain: *plain, work: *work, prefill: *prefill, eol: "\n"}
	if *lineEnd == "cr" {
		r.eol = "\r"
	}
	go func() {
		for s := range grey {
			r.grey.Store(s == syscall.SIGUSR1)
		}
	}()
	fmt.Println("ready")
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go r.serve(connection)
	}
}

type runner struct {
	id, eol                   string
	unframed, comments, plain bool
	prefill, work             time.Duration
	// grey is set from SIGUSR1 to SIGUSR2: a part of the requests fails.
	grey *atomic.Bool
}

// greyShare is the part of the requests that a grey runner fails after it has run them.
const greyShare = 0.45

// serve answers the requests of one connection.
func (r runner) serve(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("Request-Id")
		if target := request.Header.Get("Target-Instance"); target != "" && target != r.id {
			fmt.Fprintf(connection, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, r.id)
			continue
		}
		fmt.Println("runs", id, request.Method, request.RequestURI, "after", orNone(request.Header.Get("Last-Event-Id")))
		if r.plain {
			time.Sleep(r.work)
			status := "200 OK"
			if r.grey.Load() && rand.Float64() < greyShare {
				status = "503 Service Unavailable"
			}
			_, err = fmt.Fprintf(connection, "HTTP/1.1 "+status+"\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s-%s\r\nContent-Length: 3\r\n\r\nok\n", id, r.id, id)
		} else {
			err = r.stream(connection, request, id)
		}
		if err != nil {
			return
		}
	}
}

func orNone(value string) string {
	if value == "" {
		return "none"
	}
	return strings.ReplaceAll(value, " ", "_")
}

// stream writes the events after the one that the request names, 30 ms apart.
func (r runner) stream(connection net.Conn, request *http.Request, id string) error {
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Seal: seal-" + r.id + "-" + id + "\r\nContent-Type: text/event-stream\r\n"
	chunked := !r.unframed || last == 0
	if chunked {
		head += "Transfer-Encoding: chunked\r\n"
	} else {
		head += "Connection: close\r\n"
	}
	if _, err := io.WriteString(connection, head+"\r\n"); err != nil {
		return err
	}
	time.Sleep(r.prefill)
	for i := last + 1; i <= streamEvents; i++ {
		text := r.event(i)
		if chunked {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if _, err := io.WriteString(connection, text); err != nil {
			return err
		}
		time.Sleep(30 * time.Millisecond)
	}
	if chunked {
		_, err := io.WriteString(connection, "0\r\n\r\n")
		return err
	}
	return errAnswered
}

// errAnswered closes the connection of an answer that ends with it.
var errAnswered = errors.New("answer ends with its connection")

// event returns one event of a stream. The text does not name the request, as a stream that
// is resumed by its caller has a new request id.
func (r runner) event(number int) string {
	comment := ""
	if r.comments {
		comment = ": piece follows" + r.eol
	}
	return fmt.Sprintf("%sid: %d%sdata: piece %d%s%s", comment, number, r.eol, number, r.eol, r.eol)
}
