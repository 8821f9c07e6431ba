package crowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lacewingshift/lacewingshift/fake/site"
)

const (
	// crowdSize connections are kept open for crowdTime. A caller whose connection ends
	// comes back after returnPause.
	crowdSize   = 700
	crowdTime   = 6 * time.Second
	returnPause = 250 * time.Millisecond
	dialTimeout = time.Second

	fieldCount   = 1900
	smallPiece   = 512
	stopsAt      = 40
	aheadCount   = 2000
	smallWindow  = 4 << 10
	readerStopAt = 8 << 10
)

// member is what one caller of a crowd does on a connection, until it fails or ends with
// ctx. Its error is of no interest: a router may refuse it.
type member func(ctx context.Context, connection net.Conn) error

// place is where a crowd sends its requests.
type place struct {
	address func(*router) string
	line    string // request line
	head    string // further fields
}

const (
	hostField = "Host: " + site.Host + "\r\nRequest-Id: r\r\n"
	keyField  = hostField + "Authorization: Bearer " + site.Key + "\r\n"
)

var (
	onRoute = place{(*router).CallerAddress, "POST " + site.OrderPath + "1 HTTP/1.1\r\n", keyField}
	noRoute = place{(*router).CallerAddress, "POST /none HTTP/1.1\r\n", hostField}
	lookup  = place{(*router).LookupAddress, "GET /v1/lookup?name=" + site.Host + "&region=r&zone=a HTTP/1.1\r\n", hostField}
	ready   = place{(*router).readyAddress, "GET /v1/readiness HTTP/1.1\r\n", hostField}
	metrics = place{(*router).metricsAddress, "GET /metrics HTTP/1.1\r\n", hostField}

	places = map[string]place{"route": onRoute, "no route": noRoute, "lookup": lookup, "readiness": ready, "metrics": metrics}
)

// shortFields returns fieldCount different fields, which cost more memory than equal ones.
func shortFields() string {
	var fields strings.Builder
	for i := range fieldCount {
		fmt.Fprintf(&fields, "a%x:b\r\n", i)
	}
	return fields.String()
}

// play runs a crowd against a router and checks the router.
func play(t *testing.T, r *router, p place, m member) {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), crowdTime)
	defer stop()
	var crowd sync.WaitGroup
	for range crowdSize {
		crowd.Go(func() {
			for ctx.Err() == nil {
				visit(ctx, p.address(r), m)
				time.Sleep(returnPause)
			}
		})
	}
	r.watch(ctx)
	crowd.Wait()
	r.check()
}

// visit opens one connection and keeps it open until the router closes it or ctx ends.
func visit(ctx context.Context, address string, m member) {
	dialer := net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer connection.Close()
	defer context.AfterFunc(ctx, func() { _ = connection.Close() })()
	_ = m(ctx, connection) // see member
}

// thenWait sends text and waits until the router closes the connection.
func thenWait(text string) member {
	return func(_ context.Context, connection net.Conn) error {
		if _, err := io.WriteString(connection, text); err != nil {
			return err
		}
		_, err := io.Copy(io.Discard, connection)
		return err
	}
}

// inPieces sends text in pieces with a pause after each, and then waits.
func inPieces(text string, size int, pause time.Duration) member {
	return func(ctx context.Context, connection net.Conn) error {
		for rest := text; len(rest) > 0 && ctx.Err() == nil; {
			n := min(size, len(rest))
			if _, err := io.WriteString(connection, rest[:n]); err != nil {
				return err
			}
			rest = rest[n:]
			time.Sleep(pause)
		}
		_, err := io.Copy(io.Discard, connection)
		return err
	}
}

// Whole heads of very many short fields cost many times their size in memory, for as long
// as the body is awaited.
func TestManyShortFieldsAndBodyThatStopsShort(t *testing.T) {
	for name, p := range places {
		t.Run(name, func(t *testing.T) {
			text := p.line + p.head + shortFields() + "Content-Length: 100\r\n\r\n" + strings.Repeat("x", 99)
			play(t, newRouter(t, nil), p, thenWait(text))
		})
	}
}

// Heads that never end are held until their time is over.
func TestHeadsThatNeverEnd(t *testing.T) {
	for name, p := range places {
		t.Run(name, func(t *testing.T) {
			play(t, newRouter(t, nil), p, thenWait(p.line+p.head+shortFields()))
		})
	}
}

// Connections that send some bytes and stop take descriptors.
func TestSomeBytesAndNoMore(t *testing.T) {
	for name, p := range places {
		t.Run(name, func(t *testing.T) { play(t, newRouter(t, nil), p, thenWait((p.line + p.head)[:stopsAt])) })
	}
}

// Requests that are sent ahead without reading the answers block the router in a write.
func TestRequestsSentAhead(t *testing.T) {
	for name, p := range places {
		t.Run(name, func(t *testing.T) {
			one := strings.Replace(p.line, "POST", "GET", 1) + p.head + "\r\n"
			play(t, newRouter(t, nil), p, func(ctx context.Context, connection net.Conn) error {
				for range aheadCount {
					if _, err := io.WriteString(connection, one); err != nil {
						return err
					}
				}
				<-ctx.Done()
				return nil
			})
		})
	}
}

// Bodies of legal size that stop one byte short are held whole.
func TestBodiesOneByteShort(t *testing.T) {
	body := strings.Repeat("x", maxBody-1)
	framed := onRoute.line + onRoute.head + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody)
	chunked := onRoute.line + onRoute.head + "Transfer-Encoding: chunked\r\n\r\n"
	for name, m := range map[string]member{
		"with a length":      thenWait(framed + body),
		"small pieces":       inPieces(framed+body, smallPiece, time.Millisecond),
		"chunks of one byte": thenWait(chunked + strings.Repeat("1\r\nx\r\n", maxBody-1)),
	} {
		t.Run(name, func(t *testing.T) { play(t, newRouter(t, nil), onRoute, m) })
	}
}

// Bodies far over the limit must not be read to their end.
func TestBodiesFarOverTheLimit(t *testing.T) {
	for name, head := range map[string]string{
		"with a length": fmt.Sprintf("Content-Length: %d\r\n\r\n", 100*maxBody),
		"in chunks":     "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n", 100*maxBody),
	} {
		t.Run(name, func(t *testing.T) {
			piece := strings.Repeat("x", 32<<10)
			play(t, newRouter(t, nil), onRoute, func(_ context.Context, connection net.Conn) error {
				_, err := io.WriteString(connection, onRoute.line+onRoute.head+head)
				for sent := 0; err == nil && sent < 100*maxBody; sent += len(piece) {
					_, err = io.WriteString(connection, piece)
				}
				return err
			})
		})
	}
}

// Readers that stop half-way through a long stream hold what the router has read ahead.
func TestReadersThatStop(t *testing.T) {
	event := "data: " + strings.Repeat("x", 2000) + "\n\n"
	engine := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Response-Seal", "seal")
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range 4000 {
			if _, err := fmt.Fprintf(w, "id: %d\n%s", i+1, event); err != nil {
				return
			}
		}
	})
	request := "POST " + site.StreamPath + "1 HTTP/1.1\r\n" + keyField + "Token-Count: 10,10\r\nContent-Length: 0\r\n\r\n"
	play(t, newRouter(t, engine), onRoute, func(ctx context.Context, connection net.Conn) error {
		if err := connection.(*net.TCPConn).SetReadBuffer(smallWindow); err != nil {
			return err
		}
		if _, err := io.WriteString(connection, request); err != nil {
			return err
		}
		if _, err := io.CopyN(io.Discard, connection, readerStopAt); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	})
}
